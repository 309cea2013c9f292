package org.masticspread.ctl.measure;

import java.io.PrintWriter;
import picocli.CommandLine.Option;

/** The options of every measure command, as a picocli mixin. */
public final class MeasureOptions {
  @Option(
      names = "--seed",
      required = true,
      description = "seed of the run; the same seed gives the same rows")
  private long seed;

  @Option(names = "--json", description = "print one JSON object instead of a table")
  private boolean json;

  /**
   * Returns the seed of the run.
   *
   * @return the seed
   */
  public long seed() {
    return seed;
  }

  /**
   * Prints a report in the selected format.
   *
   * @param report the report
   * @param out the destination
   */
  public void print(MeasureReport<?> report, PrintWriter out) {
    if (json) {
      out.println(report.toJson());
    } else {
      out.print(report.toText());
    }
    out.flush();
  }
}
