package org.masticspread.model.peer;

/**
 * Asks a VM to take over the cell at once, since the sender is about to stop or has lost the store.
 * Answered by {@link Acknowledged}.
 *
 * @param epoch the epoch that ends
 * @param reason a short sentence, for the log
 */
public record LeadCell(long epoch, String reason) implements PeerMessage {}
