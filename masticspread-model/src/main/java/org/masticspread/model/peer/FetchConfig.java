package org.masticspread.model.peer;

/**
 * Asks for the newest configuration known. Answered by {@link ConfigFetched}.
 *
 * @param newerThan the revision above which a configuration is returned
 */
public record FetchConfig(long newerThan) implements PeerMessage {}
