package org.masticspread.state.guard;

import java.time.Duration;

/**
 * The limits of a {@link StoreGuard}.
 *
 * @param maxConcurrent the most calls at once
 * @param slowAfter a call that takes longer counts as slow and lowers the limit of calls at once
 * @param failuresToOpen the failures in a row after which calls are refused for a while
 * @param backoffBase the greatest wait after the first time calls are refused
 * @param backoffMax the greatest wait before the store is tried again
 * @param retriesPerSuccess the part of a retry that each successful call earns
 * @param maxRetries the most retries that can be saved up
 */
public record GuardSettings(
    int maxConcurrent,
    Duration slowAfter,
    int failuresToOpen,
    Duration backoffBase,
    Duration backoffMax,
    double retriesPerSuccess,
    double maxRetries) {
  /** 16 calls at once, slow after 500 ms, refused after 5 failures for 100 ms to 2 s. */
  public static final GuardSettings DEFAULT =
      new GuardSettings(
          16, Duration.ofMillis(500), 5, Duration.ofMillis(100), Duration.ofSeconds(2), 0.1, 10);
}
