package org.masticspread.wire.internal;

import java.time.Duration;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Exponential backoff with jitter for failed attempts. Not thread-safe. */
final class Backoff {
  private static final int MAX_DOUBLINGS = 20;

  private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create();
  private final Duration initial;
  private final Duration max;
  private int failures;
  private long failedAt;
  private long wait;

  Backoff(Duration initial, Duration max) {
    this.initial = initial;
    this.max = max;
  }

  /**
   * Records a failed attempt. The wait is chosen at random between half and all of the current
   * backoff step.
   */
  void recordFailure(long nowNanos) {
    long step = initial.toNanos() << Math.min(failures, MAX_DOUBLINGS);
    long bounded = Math.min(step, max.toNanos());
    wait = bounded / 2 + (long) (random.nextDouble() * bounded / 2);
    failedAt = nowNanos;
    failures++;
  }

  void reset() {
    failures = 0;
    wait = 0;
  }

  /** Returns whether the next attempt must still wait. If the clock was set back, the wait ends. */
  boolean mustWait(long nowNanos) {
    long passed = nowNanos - failedAt;
    return passed >= 0 && passed < wait;
  }
}
