package org.masticspread.cell.load;

import java.time.Duration;
import java.time.InstantSource;
import org.masticspread.cell.policy.DelayEstimator;

/**
 * How long a VM waits for answers of workers: longer while it is behind itself, so that its own
 * delay is not taken for silent workers.
 *
 * <pre>{@code
 * Duration timeout = adaptiveTimeout.extend(Duration.ofMillis(500));
 * adaptiveTimeout.recordAnswer(Duration.ofMillis(12));
 * }</pre>
 */
public final class AdaptiveTimeout {
  /** A lease outlasts one renewal without an answer, this included. */
  private static final Duration MOST_ADDED = Duration.ofMillis(900);

  private static final int DELAYS_ADDED = 4;

  private final DelayEstimator delay = new DelayEstimator();
  private final InstantSource clock;

  /**
   * Creates a patience.
   *
   * @param clock a steady clock
   */
  public AdaptiveTimeout(InstantSource clock) {
    this.clock = clock;
  }

  /**
   * Notes an answer to a call that a worker answers at once.
   *
   * @param took how long it took
   */
  public void recordAnswer(Duration took) {
    delay.record(took, clock.millis());
  }

  /**
   * Returns how long to wait for an answer.
   *
   * @param usual how long a VM waits that keeps up
   * @return the time
   */
  public Duration extend(Duration usual) {
    Duration added = delay.estimate(clock.millis()).multipliedBy(DELAYS_ADDED);
    return usual.plus(added.compareTo(MOST_ADDED) > 0 ? MOST_ADDED : added);
  }
}
