package org.masticspread.cell.load;

import java.time.Duration;
import java.time.InstantSource;
import org.masticspread.cell.policy.DelayEstimator;

/**
 * A timeout for calls to workers that grows with the processing delay of the calling VM, so that an
 * overloaded VM does not mistake its own delay for unresponsive workers.
 *
 * <pre>{@code
 * Duration timeout = adaptiveTimeout.extend(Duration.ofMillis(500));
 * adaptiveTimeout.recordAnswer(Duration.ofMillis(12));
 * }</pre>
 */
public final class AdaptiveTimeout {
  /** Maximum extension; a lease outlasts one unanswered renewal even with this extension. */
  private static final Duration MAX_EXTENSION = Duration.ofMillis(900);

  private static final int DELAY_FACTOR = 4;

  private final DelayEstimator delay = new DelayEstimator();
  private final InstantSource clock;

  /**
   * Creates a timeout without an extension.
   *
   * @param clock a monotonic clock
   */
  public AdaptiveTimeout(InstantSource clock) {
    this.clock = clock;
  }

  /**
   * Records the response time of a call that a worker answers at once.
   *
   * @param took the response time
   */
  public void recordAnswer(Duration took) {
    delay.record(took, clock.millis());
  }

  /**
   * Extends a timeout by a multiple of the estimated processing delay.
   *
   * @param baseTimeout the timeout of a VM without processing delay
   * @return the extended timeout
   */
  public Duration extend(Duration baseTimeout) {
    Duration extension = delay.estimate(clock.millis()).multipliedBy(DELAY_FACTOR);
    return baseTimeout.plus(extension.compareTo(MAX_EXTENSION) > 0 ? MAX_EXTENSION : extension);
  }
}
