package org.masticspread.ctl.command.config;

import java.io.PrintWriter;
import org.masticspread.ctl.client.Problems;

/** Prints what is wrong with a configuration, a line for each field. */
public final class ProblemPrinter {
  private ProblemPrinter() {}

  /**
   * Prints problems.
   *
   * @param out where to print
   * @param problems the problems
   */
  public static void print(PrintWriter out, Problems problems) {
    if (problems.problems().isEmpty()) {
      out.println("valid");
    }
    problems.problems().forEach(p -> out.println(p.field() + ": " + p.message()));
  }
}
