package org.masticspread.policy.request;

import java.time.Duration;

/**
 * Bounds of a request scheduler.
 *
 * @param queuedRequests the most requests that wait in all, at least 1
 * @param queuedBytes the most bytes of waiting bodies in all
 * @param attempts the most attempts of one request, at least 1
 * @param explained the most requests whose decisions are kept
 * @param ejectedPart the greatest part of the endpoints of a pool that may be ejected, 0 to 1
 * @param retryPart the tokens for retries that each first attempt earns
 * @param hedgePart the tokens for hedges that each first attempt earns
 * @param burst how far back unused floor counts
 */
public record RequestLimits(
    int queuedRequests,
    long queuedBytes,
    int attempts,
    int explained,
    double ejectedPart,
    double retryPart,
    double hedgePart,
    Duration burst) {

  /** The bounds of an entry VM. */
  public static final RequestLimits STANDARD =
      new RequestLimits(
          20_000, 16L * 1024 * 1024, 4, 2_000, 0.3, 0.1, 0.02, Duration.ofMillis(500));
}
