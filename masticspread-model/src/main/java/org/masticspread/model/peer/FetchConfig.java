package org.masticspread.model.peer;

/**
 * Asks for the newest configuration known. Answered by {@link ConfigFetched}.
 *
 * @param newerThan only a revision higher than this one
 */
public record FetchConfig(long newerThan) implements PeerMessage {}
