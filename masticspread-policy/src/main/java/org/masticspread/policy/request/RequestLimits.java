package org.masticspread.policy.request;

import java.time.Duration;

/**
 * Limits of a {@link RequestScheduler}.
 *
 * @param maxQueuedRequests the maximum number of queued requests, at least 1
 * @param maxQueuedBytes the maximum total size of the bodies of queued requests, in bytes
 * @param maxAttempts the maximum number of attempts of one request, at least 1
 * @param maxExplainedRequests the maximum number of requests whose decisions are kept
 * @param maxEjectedFraction the maximum fraction of the endpoints of a pool that may be ejected at
 *     once, 0 to 1
 * @param retryTokensPerAttempt the retry tokens that each first attempt earns
 * @param hedgeTokensPerAttempt the hedge tokens that each first attempt earns
 * @param burst the period over which unused floor accumulates as credit
 */
public record RequestLimits(
    int maxQueuedRequests,
    long maxQueuedBytes,
    int maxAttempts,
    int maxExplainedRequests,
    double maxEjectedFraction,
    double retryTokensPerAttempt,
    double hedgeTokensPerAttempt,
    Duration burst) {

  /** The limits of an entry VM. */
  public static final RequestLimits STANDARD =
      new RequestLimits(
          20_000, 16L * 1024 * 1024, 4, 2_000, 0.3, 0.1, 0.02, Duration.ofMillis(500));
}
