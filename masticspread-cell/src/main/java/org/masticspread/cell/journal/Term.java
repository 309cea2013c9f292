package org.masticspread.cell.journal;

/**
 * A term of leadership that this VM has won.
 *
 * @param epoch the epoch of the term
 * @param version the version of the leader row and the head row, which one transaction wrote
 */
public record Term(long epoch, long version) {}
