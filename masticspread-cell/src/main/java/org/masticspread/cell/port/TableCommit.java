package org.masticspread.cell.port;

import java.util.List;

/**
 * A transaction on rows of one part; it is atomic.
 *
 * @param part the part of all rows
 * @param expected the versions that rows must have; 0 for a row that must not exist
 * @param puts the rows to write
 * @param removals the rows to delete
 */
public record TableCommit(
    String part, List<Expected> expected, List<Put> puts, List<RowName> removals) {

  /** Copies the lists. */
  public TableCommit {
    expected = List.copyOf(expected);
    puts = List.copyOf(puts);
    removals = List.copyOf(removals);
  }

  /**
   * The name of a row within its part.
   *
   * @param table the table
   * @param key the key
   */
  public record RowName(String table, String key) {}

  /**
   * A condition on the version of a row.
   *
   * @param row the row
   * @param version the required version; 0 if the row must not exist
   */
  public record Expected(RowName row, long version) {}

  /**
   * A write of a row.
   *
   * @param row the row
   * @param value the new content
   */
  public record Put(RowName row, byte[] value) {}
}
