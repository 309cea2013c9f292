package org.masticspread.state.internal;

import java.util.ArrayList;
import java.util.List;
import org.masticspread.model.platform.Row;
import org.masticspread.model.platform.StoreException;
import org.masticspread.model.platform.TableService;

/** Reads all rows with a key prefix, page by page. */
public final class Scans {
  private static final int PAGE_ROWS = 500;

  private Scans() {}

  /**
   * Reads all rows with a key prefix. Costs one scan per 500 rows.
   *
   * @param table the table service
   * @param prefix the prefix of the keys
   * @param after the key after which to start; empty to read all rows
   * @return the rows in the order of their keys
   * @throws StoreException if the service does not answer
   */
  public static List<Row> all(TableService table, String prefix, String after)
      throws StoreException {
    List<Row> rows = new ArrayList<>();
    String last = after;
    while (true) {
      List<Row> page = table.scan(prefix, last, PAGE_ROWS);
      rows.addAll(page);
      if (page.size() < PAGE_ROWS) {
        return rows;
      }
      last = page.get(page.size() - 1).key();
    }
  }
}
