package org.masticspread.cell.port;

import java.util.List;

/**
 * A page of rows returned by a read.
 *
 * @param rows the rows, by ascending key, or by ascending version for changes
 * @param hasMore whether more rows of the range follow
 * @param version the newest version of the store at the time of the read
 */
public record RowPage(List<TableRow> rows, boolean hasMore, long version) {
  /** Copies the list. */
  public RowPage {
    rows = List.copyOf(rows);
  }
}
