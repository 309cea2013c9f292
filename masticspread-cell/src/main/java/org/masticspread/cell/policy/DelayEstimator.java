package org.masticspread.cell.policy;

import java.time.Duration;

/**
 * An estimator of the processing delay of a VM, based on the response times of its orders to
 * workers, which workers answer at once. The delay is what the orders wait for the VM's own
 * processor and network link.
 *
 * <pre>{@code
 * delay.record(Duration.ofMillis(8), now);
 * Duration behind = delay.estimate(now);
 * }</pre>
 */
public final class DelayEstimator {
  /** Weight of a new response time; the moving average covers about the last ten. */
  private static final double WEIGHT = 0.1;

  /** Time in which the estimate halves when no answers arrive. */
  private static final Duration HALF_LIFE = Duration.ofMillis(1000);

  private double averageMillis;
  private long updatedAtMillis;

  /**
   * Records a response time.
   *
   * @param took the time until the answer arrived
   * @param nowMillis the current time
   */
  public void record(Duration took, long nowMillis) {
    averageMillis += WEIGHT * (took.toMillis() - averageMillis);
    updatedAtMillis = nowMillis;
  }

  /**
   * Returns the estimated delay.
   *
   * @param nowMillis the current time
   * @return the delay
   */
  public Duration estimate(long nowMillis) {
    double halfLives = Math.max(0, nowMillis - updatedAtMillis) / (double) HALF_LIFE.toMillis();
    return Duration.ofMillis((long) (averageMillis * Math.pow(0.5, halfLives)));
  }
}
