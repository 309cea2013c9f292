package org.masticspread.state.internal;

import java.time.Duration;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Exponential backoff that waits between half of the current maximum and the whole. Not
 * thread-safe; guarded by the lock of its user.
 */
public final class Backoff {
  private static final int MAX_DOUBLINGS = 20;

  private final long baseNanos;
  private final long maxNanos;
  private final UniformRandomProvider random;
  private int failures;

  /**
   * Creates a backoff.
   *
   * @param base the maximum wait after the first failure
   * @param max the maximum wait after any failure
   * @param random the source of the jitter
   */
  public Backoff(Duration base, Duration max, UniformRandomProvider random) {
    this.baseNanos = base.toNanos();
    this.maxNanos = max.toNanos();
    this.random = random;
  }

  /**
   * Counts a failure and returns the backoff.
   *
   * @return the wait before the next attempt, in nanoseconds
   */
  public long nextNanos() {
    int doublings = Math.min(failures, MAX_DOUBLINGS);
    failures++;
    long ceiling = Math.min(maxNanos, baseNanos << doublings);
    return random.nextLong(ceiling / 2, ceiling + 1);
  }

  /** Resets the backoff after a success. */
  public void reset() {
    failures = 0;
  }

  /**
   * Returns the number of failures since the last reset.
   *
   * @return the count
   */
  public int failures() {
    return failures;
  }
}
