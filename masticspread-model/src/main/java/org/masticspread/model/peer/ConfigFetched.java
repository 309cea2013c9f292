package org.masticspread.model.peer;

import org.masticspread.model.config.Configuration;

/**
 * Answers {@link FetchConfig}.
 *
 * @param configuration the configuration; null if there is no newer one
 */
public record ConfigFetched(Configuration configuration) implements PeerMessage {}
