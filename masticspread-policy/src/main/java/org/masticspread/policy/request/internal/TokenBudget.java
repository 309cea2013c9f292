package org.masticspread.policy.request.internal;

/** A token bucket that first attempts fill and extra attempts drain. */
final class TokenBudget {
  private static final double MAX_TOKENS = 50;
  private static final double INITIAL_TOKENS = 5;

  private final double tokensPerAttempt;
  private double tokens = INITIAL_TOKENS;

  TokenBudget(double tokensPerAttempt) {
    this.tokensPerAttempt = tokensPerAttempt;
  }

  void earn() {
    tokens = Math.min(MAX_TOKENS, tokens + tokensPerAttempt);
  }

  boolean trySpend() {
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }
}
