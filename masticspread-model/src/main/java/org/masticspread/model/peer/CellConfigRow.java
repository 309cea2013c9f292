package org.masticspread.model.peer;

import org.masticspread.model.work.Payload;

/**
 * Answers {@link ReadCellConfig} with the row as the store returned it, so that a configuration
 * that travels between VMs is one that the operator wrote.
 *
 * @param key the key of the row; empty if the VM has no newer configuration
 * @param value the value of the row
 * @param rowVersion the version that the store gave the row
 * @param ageMillis the time since the configuration was confirmed to be the newest
 */
public record CellConfigRow(String key, Payload value, long rowVersion, long ageMillis)
    implements PeerMessage {}
