package org.masticspread.node.request;

/**
 * Bounds repeats of idempotent requests whose outcome is unknown to a part of all requests, so that
 * trouble brings no flood of repeats. Thread-safe.
 *
 * <p>Example: {@code new RepeatBudget(0.1, 20)} allows one repeat for ten requests.
 */
public final class RepeatBudget {
  private final double earned;
  private final double most;
  private double tokens;

  /**
   * Creates a full budget.
   *
   * @param earned the part of a repeat that each request earns
   * @param most the most repeats saved up
   */
  public RepeatBudget(double earned, double most) {
    this.earned = earned;
    this.most = most;
    this.tokens = most;
  }

  /** Counts a request. */
  public synchronized void earn() {
    tokens = Math.min(most, tokens + earned);
  }

  /**
   * Takes one repeat.
   *
   * @return whether one was left
   */
  public synchronized boolean spend() {
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
}
