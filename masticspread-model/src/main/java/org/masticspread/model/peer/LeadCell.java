package org.masticspread.model.peer;

/**
 * Asks a VM to take over the leadership of the cell at once, because the sender is stopping or has
 * lost the store. Answered by {@link Acknowledged}.
 *
 * @param epoch the epoch that ends
 * @param mustReachStore whether the VM must only take over if it can write to the store
 * @param reason the reason, as a short sentence for the log
 */
public record LeadCell(long epoch, boolean mustReachStore, String reason) implements PeerMessage {}
