package org.masticspread.model.peer;

import org.masticspread.model.config.Configuration;

/**
 * Answers {@link FetchConfig}.
 *
 * @param configuration the configuration; null when none is newer
 */
public record ConfigFetched(Configuration configuration) implements PeerMessage {}
