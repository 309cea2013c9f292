package org.masticspread.wire.internal;

import java.time.Duration;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Spaces attempts that fail: each wait is up to twice the one before. Not thread-safe. */
final class Backoff {
  private static final int MOST_DOUBLINGS = 20;

  private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create();
  private final Duration first;
  private final Duration longest;
  private int failures;
  private long failedAt;
  private long wait;

  Backoff(Duration first, Duration longest) {
    this.first = first;
    this.longest = longest;
  }

  /** Notes a failed attempt; the wait is between half of and the whole step. */
  void failed(long nowNanos) {
    long step = first.toNanos() << Math.min(failures, MOST_DOUBLINGS);
    long bounded = Math.min(step, longest.toNanos());
    wait = bounded / 2 + (long) (random.nextDouble() * bounded / 2);
    failedAt = nowNanos;
    failures++;
  }

  void succeeded() {
    failures = 0;
    wait = 0;
  }

  /** Tells whether an attempt must still wait; a clock that was set back ends the wait. */
  boolean mustWait(long nowNanos) {
    long passed = nowNanos - failedAt;
    return passed >= 0 && passed < wait;
  }
}
