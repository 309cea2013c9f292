package org.masticspread.ctl.output;

import java.io.PrintWriter;
import org.masticspread.model.config.AuditEntry;

/** Prints changes of the configuration: who, when, revision, before and after. */
public final class AuditText {
  private static final String NOTHING = "(nothing)";

  private AuditText() {}

  /**
   * Prints a change.
   *
   * @param out where to print
   * @param entry the change
   */
  public static void print(PrintWriter out, AuditEntry entry) {
    out.println("revision " + entry.revision() + " at " + entry.at() + " by " + entry.who());
    out.println("  what:   " + entry.what());
    out.println("  before: " + orNothing(entry.before()));
    out.println("  after:  " + orNothing(entry.after()));
  }

  private static String orNothing(String part) {
    return part == null || part.isEmpty() ? NOTHING : part;
  }
}
