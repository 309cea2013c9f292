package org.masticspread.model.peer;

/**
 * Asks a VM to take over the cell at once, since the sender is about to stop or has lost the store.
 * Answered by {@link Acknowledged}.
 *
 * @param epoch the epoch that ends
 * @param mustReachStore whether the VM is to take over only if it can write to the store
 * @param reason a short sentence, for the log
 */
public record LeadCell(long epoch, boolean mustReachStore, String reason) implements PeerMessage {}
