package org.masticspread.node.request;

/**
 * Limits retries of idempotent requests whose outcome is unknown to a fraction of all requests, so
 * that failures cause no retry storm. Thread-safe.
 *
 * <p>Example: {@code new RetryBudget(0.1, 20)} allows one retry per ten requests and saves up to
 * 20.
 */
public final class RetryBudget {
  private final double retriesPerRequest;
  private final double maxTokens;
  private double tokens;

  /**
   * Creates a full budget.
   *
   * @param retriesPerRequest the fraction of a retry that each request adds
   * @param maxTokens the maximum number of retries saved up
   */
  public RetryBudget(double retriesPerRequest, double maxTokens) {
    this.retriesPerRequest = retriesPerRequest;
    this.maxTokens = maxTokens;
    this.tokens = maxTokens;
  }

  /** Adds the share of one request to the budget. */
  public synchronized void earn() {
    tokens = Math.min(maxTokens, tokens + retriesPerRequest);
  }

  /**
   * Takes one retry from the budget.
   *
   * @return whether a retry was available
   */
  public synchronized boolean spend() {
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
}
