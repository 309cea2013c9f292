package org.masticspread.ctl.output;

import java.io.PrintWriter;
import org.masticspread.model.config.AuditEntry;

/**
 * Prints audit entries of configuration changes: revision, time, author, values before and after.
 */
public final class AuditText {
  private static final String NOTHING = "(nothing)";

  private AuditText() {}

  /**
   * Prints an audit entry.
   *
   * @param out the destination
   * @param entry the audit entry
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
