package org.masticspread.ctl.client;

import java.time.Instant;
import java.util.List;

/**
 * The scheduling decisions about a job or a request, oldest first.
 *
 * @param subject the job or request
 * @param lines the decisions
 */
public record Explanation(String subject, List<Line> lines) {

  /** Copies the list; a missing list counts as empty. */
  public Explanation {
    lines = lines == null ? List.of() : List.copyOf(lines);
  }

  /**
   * One decision.
   *
   * @param at the time of the decision
   * @param vm the VM that made it
   * @param decision the decision
   * @param reason the reason, in a short sentence
   */
  public record Line(Instant at, String vm, String decision, String reason) {}
}
