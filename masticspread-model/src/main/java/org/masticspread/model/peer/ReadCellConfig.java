package org.masticspread.model.peer;

/**
 * Asks a VM for its configuration of the cell. Answered by {@link CellConfigRow}.
 *
 * @param knownVersion the version of the configuration of the sender
 */
public record ReadCellConfig(long knownVersion) implements PeerMessage {}
