package org.masticspread.state.session;

import java.time.Duration;

/**
 * The timing of sessions.
 *
 * @param interval the heartbeat interval
 * @param ttl how long a session may go without a heartbeat before it is fenced
 * @param margin how much earlier than the TTL the holder stops relying on its session; covers the
 *     drift between the clocks of two VMs
 */
public record SessionTiming(Duration interval, Duration ttl, Duration margin) {
  /** A heartbeat every second, a TTL of 5 seconds and a margin of 1 second. */
  public static final SessionTiming DEFAULT =
      new SessionTiming(Duration.ofSeconds(1), Duration.ofSeconds(5), Duration.ofSeconds(1));

  /**
   * Validates the durations.
   *
   * @throws IllegalArgumentException if the TTL is not longer than two intervals plus the margin
   */
  public SessionTiming {
    if (ttl.compareTo(interval.multipliedBy(2).plus(margin)) <= 0) {
      throw new IllegalArgumentException(
          "ttl: " + ttl + " is not longer than two intervals plus the margin");
    }
  }

  /**
   * Returns the heartbeat interval that keeps all VMs within a total write rate.
   *
   * @param liveVms the number of live VMs
   * @param writesPerSecond the heartbeat writes per second of all VMs together
   * @return the interval, at least {@link #interval}; the caller must ensure that it is at most
   *     half of the TTL
   */
  public Duration intervalFor(int liveVms, double writesPerSecond) {
    Duration budgeted = Duration.ofNanos((long) (liveVms / writesPerSecond * 1e9));
    return budgeted.compareTo(interval) > 0 ? budgeted : interval;
  }
}
