package org.masticspread.ctl.command.config;

import java.io.PrintWriter;
import org.masticspread.ctl.client.Problems;

/** Prints the problems of a configuration, one line per invalid field. */
public final class ProblemPrinter {
  private ProblemPrinter() {}

  /**
   * Prints problems.
   *
   * @param out the destination
   * @param problems the problems
   */
  public static void print(PrintWriter out, Problems problems) {
    if (problems.problems().isEmpty()) {
      out.println("valid");
    }
    problems.problems().forEach(p -> out.println(p.field() + ": " + p.message()));
  }
}
