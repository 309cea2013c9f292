package org.masticspread.state.internal;

import java.time.Duration;
import org.apache.commons.rng.UniformRandomProvider;

/** Exponential backoff with full jitter. Not thread-safe; guarded by its user's lock. */
public final class Backoff {
  private static final int MAX_DOUBLINGS = 20;

  private final long baseNanos;
  private final long maxNanos;
  private final UniformRandomProvider random;
  private int failures;

  /**
   * Creates a backoff.
   *
   * @param base the greatest wait after the first failure
   * @param max the greatest wait after any failure
   * @param random the source of the jitter
   */
  public Backoff(Duration base, Duration max, UniformRandomProvider random) {
    this.baseNanos = base.toNanos();
    this.maxNanos = max.toNanos();
    this.random = random;
  }

  /**
   * Counts a failure.
   *
   * @return how long to wait before the next attempt, in nanoseconds
   */
  public long nextNanos() {
    int doublings = Math.min(failures, MAX_DOUBLINGS);
    failures++;
    long ceiling = Math.min(maxNanos, baseNanos << doublings);
    return random.nextLong(ceiling / 2, ceiling + 1);
  }

  /** Forgets the failures. */
  public void reset() {
    failures = 0;
  }

  /**
   * Returns the failures since the last success.
   *
   * @return the count
   */
  public int failures() {
    return failures;
  }
}
