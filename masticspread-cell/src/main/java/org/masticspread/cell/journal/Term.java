package org.masticspread.cell.journal;

/**
 * A won leadership.
 *
 * @param epoch its number
 * @param version the version of the rows of leader and head, which one transaction wrote
 */
public record Term(long epoch, long version) {}
