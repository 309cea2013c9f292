package org.masticspread.model.peer;

/**
 * Answers {@link ReserveGang}.
 *
 * @param reserved the number of tasks for which room is reserved; 0 if there is no room
 */
public record GangReserved(int reserved) implements PeerMessage {}
