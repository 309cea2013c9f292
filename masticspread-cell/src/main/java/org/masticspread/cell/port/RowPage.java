package org.masticspread.cell.port;

import java.util.List;

/**
 * Rows that a read returned.
 *
 * @param rows the rows, by ascending key, or by ascending version for changes
 * @param hasMore whether more rows of the range follow
 * @param version the newest version of the store at that moment
 */
public record RowPage(List<TableRow> rows, boolean hasMore, long version) {
  /** Copies the list. */
  public RowPage {
    rows = List.copyOf(rows);
  }
}
