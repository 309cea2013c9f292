package org.masticspread.ctl.output;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;

/**
 * A table of text with columns as wide as their cells.
 *
 * <p>Not thread-safe. Example: {@code Table.of("NAME", "STATE").row("e-1", "ACTIVE").print(out)}.
 */
public final class Table {
  private static final String GAP = "  ";

  private final List<List<String>> rows = new ArrayList<>();

  private Table() {}

  /**
   * Returns a table without rows.
   *
   * @param heads the heads of the columns
   * @return the table
   */
  public static Table of(String... heads) {
    return new Table().row((Object[]) heads);
  }

  /**
   * Adds a row.
   *
   * @param cells the cells, as many as there are columns; null is shown as a dash
   * @return this table
   */
  public Table row(Object... cells) {
    rows.add(Arrays.stream(cells).map(c -> c == null ? "-" : printable(c.toString())).toList());
    return this;
  }

  /**
   * Prints the table.
   *
   * @param out where to print
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
      line.append(cells.get(i)).append(" ".repeat(widths[i] - cells.get(i).length())).append(GAP);
    }
    return line.toString().stripTrailing();
  }

  /** Keeps control characters of foreign texts away from the terminal. */
  private static String printable(String text) {
    return text.replaceAll("\\p{Cntrl}", " ");
  }
}
