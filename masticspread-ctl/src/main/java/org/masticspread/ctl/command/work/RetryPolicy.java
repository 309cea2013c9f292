package org.masticspread.ctl.command.work;

import java.time.Duration;
import java.time.Instant;
import java.util.function.Supplier;
import org.masticspread.ctl.client.Result;
import org.masticspread.ctl.command.CtlContext;

/**
 * A retry policy with exponential backoff for calls whose work certainly did not run; each retry
 * carries the same id.
 *
 * <p>A call with an unknown outcome is never retried.
 */
final class RetryPolicy {
  private static final Duration INITIAL_BACKOFF = Duration.ofMillis(100);
  private static final int MAX_DOUBLINGS = 6;

  private final CtlContext context;
  private final int retries;
  private final Duration within;

  /**
   * Creates a policy.
   *
   * @param context provides the clock and the pause
   * @param retries the maximum number of retries
   * @param within the time limit after which no retry starts
   */
  RetryPolicy(CtlContext context, int retries, Duration within) {
    this.context = context;
    this.retries = retries;
    this.within = within;
  }

  Result call(Supplier<Result> call) throws InterruptedException {
    Instant end = context.clock().instant().plus(within);
    Result result = call.get();
    for (int retry = 0; retry < retries && result.isRetryable(); retry++) {
      Duration backoff = backoff(result, retry);
      if (context.clock().instant().plus(backoff).isAfter(end)) {
        return result;
      }
      context.pause().sleep(backoff);
      result = call.get();
    }
    return result;
  }

  private static Duration backoff(Result result, int retry) {
    Duration exponentialBackoff =
        INITIAL_BACKOFF.multipliedBy(1L << Math.min(retry, MAX_DOUBLINGS));
    return exponentialBackoff.compareTo(result.retryAfter()) > 0
        ? exponentialBackoff
        : result.retryAfter();
  }
}
