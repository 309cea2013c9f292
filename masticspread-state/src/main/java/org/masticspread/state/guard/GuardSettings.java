package org.masticspread.state.guard;

import java.time.Duration;

/**
 * The limits of a {@link StoreGuard}.
 *
 * @param maxConcurrent the maximum number of concurrent calls
 * @param slowAfter the duration after which a call counts as slow; a slow call lowers the
 *     concurrency limit
 * @param failuresToOpen the number of consecutive failures that opens the circuit breaker
 * @param backoffBase the maximum backoff when the circuit breaker opens
 * @param backoffMax the maximum backoff before the store is tried again
 * @param retriesPerSuccess the fraction of a retry that each successful call adds to the retry
 *     budget
 * @param maxRetries the maximum and initial retry budget
 */
public record GuardSettings(
    int maxConcurrent,
    Duration slowAfter,
    int failuresToOpen,
    Duration backoffBase,
    Duration backoffMax,
    double retriesPerSuccess,
    double maxRetries) {
  /**
   * 16 concurrent calls, slow after 500 ms, open after 5 failures with a backoff from 100 ms to 2
   * s, a retry budget of 10 that grows by 0.1 per success.
   */
  public static final GuardSettings DEFAULT =
      new GuardSettings(
          16, Duration.ofMillis(500), 5, Duration.ofMillis(100), Duration.ofSeconds(2), 0.1, 10);
}
