package org.masticspread.ctl.output;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;

/**
 * A text table whose columns are as wide as their widest cell.
 *
 * <p>Not thread-safe. Example: {@code Table.of("NAME", "STATE").row("e-1", "ACTIVE").print(out)}.
 */
public final class Table {
  private static final String COLUMN_SEPARATOR = "  ";

  private final List<List<String>> rows = new ArrayList<>();

  private Table() {}

  /**
   * Returns a table without rows.
   *
   * @param titles the titles of the columns
   * @return the table
   */
  public static Table of(String... titles) {
    return new Table().row((Object[]) titles);
  }

  /**
   * Adds a row.
   *
   * @param cells the cells, one for each column; null is printed as a dash
   * @return this table
   */
  public Table row(Object... cells) {
    rows.add(
        Arrays.stream(cells)
            .map(c -> c == null ? "-" : withoutControlCharacters(c.toString()))
            .toList());
    return this;
  }

  /**
   * Prints the table.
   *
   * @param out the destination
   */
  public void print(PrintWriter out) {
    int[] widths =
        IntStream.range(0, rows.get(0).size())
            .map(i -> rows.stream().mapToInt(r -> r.get(i).length()).max().orElse(0))
            .toArray();
    rows.forEach(r -> out.println(line(r, widths)));
  }

  private static String line(List<String> cells, int[] widths) {
    StringBuilder line = new StringBuilder();
    for (int i = 0; i < cells.size(); i++) {
      line.append(cells.get(i))
          .append(" ".repeat(widths[i] - cells.get(i).length()))
          .append(COLUMN_SEPARATOR);
    }
    return line.toString().stripTrailing();
  }

  /**
   * Replaces control characters in text from other systems, which could manipulate the terminal.
   */
  private static String withoutControlCharacters(String text) {
    return text.replaceAll("\\p{Cntrl}", " ");
  }
}
