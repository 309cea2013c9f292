package org.masticspread.cell.journal;

/**
 * A term of leadership that this VM has won.
 *
 * @param epoch the epoch of the term
 * @param version the version of the leader row and the head row, which one transaction wrote
 * @param claimedMillis when the transaction was first sent, on the monotonic clock; no other VM has
 *     taken over before
 */
public record Term(long epoch, long version, long claimedMillis) {}
