package org.masticspread.model.peer;

/**
 * Answers {@link ReserveGang}.
 *
 * @param reserved the number of tasks reserved for; 0 when there is no room
 */
public record GangReserved(int reserved) implements PeerMessage {}
