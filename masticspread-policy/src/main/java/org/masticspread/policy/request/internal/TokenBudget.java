package org.masticspread.policy.request.internal;

/** Tokens that first attempts earn and extra attempts spend. */
final class TokenBudget {
  private static final double FULL = 50;
  private static final double AT_START = 5;

  private final double earnedPerAttempt;
  private double tokens = AT_START;

  TokenBudget(double earnedPerAttempt) {
    this.earnedPerAttempt = earnedPerAttempt;
  }

  void earn() {
    tokens = Math.min(FULL, tokens + earnedPerAttempt);
  }

  boolean spend() {
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }
}
