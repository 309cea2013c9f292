package org.masticspread.ctl.command.work;

import java.time.Duration;
import java.time.Instant;
import java.util.function.Supplier;
import org.masticspread.ctl.client.Result;
import org.masticspread.ctl.command.CtlContext;

/**
 * Repeats a call whose work certainly did not run; the call carries the same id each time.
 *
 * <p>An unknown outcome is never repeated.
 */
final class Retrying {
  private static final Duration FIRST_PAUSE = Duration.ofMillis(100);
  private static final int MAX_DOUBLINGS = 6;

  private final CtlContext context;
  private final int retries;
  private final Duration within;

  /**
   * Creates a policy.
   *
   * @param context gives clock and pause
   * @param retries the most repeats
   * @param within the time after which no repeat starts
   */
  Retrying(CtlContext context, int retries, Duration within) {
    this.context = context;
    this.retries = retries;
    this.within = within;
  }

  Result call(Supplier<Result> call) throws InterruptedException {
    Instant end = context.clock().instant().plus(within);
    Result result = call.get();
    for (int retry = 0; retry < retries && result.isRetryable(); retry++) {
      Duration pause = pause(result, retry);
      if (context.clock().instant().plus(pause).isAfter(end)) {
        return result;
      }
      context.pause().of(pause);
      result = call.get();
    }
    return result;
  }

  private static Duration pause(Result result, int retry) {
    Duration own = FIRST_PAUSE.multipliedBy(1L << Math.min(retry, MAX_DOUBLINGS));
    return own.compareTo(result.retryAfter()) > 0 ? own : result.retryAfter();
  }
}
