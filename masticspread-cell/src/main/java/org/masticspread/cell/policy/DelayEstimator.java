package org.masticspread.cell.policy;

import java.time.Duration;

/**
 * How long orders of a VM take until they are answered, beside the time at the other side: what
 * waits for the VM's processor and its link.
 *
 * <pre>{@code
 * delay.record(Duration.ofMillis(8), now);
 * Duration behind = delay.estimate(now);
 * }</pre>
 */
public final class DelayEstimator {
  /** The weight of an answer: some ten count. */
  private static final double WEIGHT = 0.1;

  /** Without answers the delay is forgotten by half in this. */
  private static final Duration HALF_LIFE = Duration.ofMillis(1000);

  private double millis;
  private long atMillis;

  /**
   * Notes an answer.
   *
   * @param took how long it took
   * @param nowMillis the moment
   */
  public void record(Duration took, long nowMillis) {
    millis += WEIGHT * (took.toMillis() - millis);
    atMillis = nowMillis;
  }

  /**
   * Returns the delay at a moment.
   *
   * @param nowMillis the moment
   * @return the delay
   */
  public Duration estimate(long nowMillis) {
    double halves = Math.max(0, nowMillis - atMillis) / (double) HALF_LIFE.toMillis();
    return Duration.ofMillis((long) (millis * Math.pow(0.5, halves)));
  }
}
