package org.masticspread.cell.port;

import java.util.List;

/**
 * A transaction on rows of one part: all of it takes effect, or nothing.
 *
 * @param part the part of all its rows
 * @param expected rows that must have a version; 0 when the row must be absent
 * @param puts rows to write
 * @param removals rows to drop
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
   * The name of a row within the part.
   *
   * @param table the table
   * @param key the key
   */
  public record RowName(String table, String key) {}

  /**
   * A condition.
   *
   * @param row the row
   * @param version the version it must have, 0 for an absent row
   */
  public record Expected(RowName row, long version) {}

  /**
   * A write.
   *
   * @param row the row
   * @param value the new content
   */
  public record Put(RowName row, byte[] value) {}
}
