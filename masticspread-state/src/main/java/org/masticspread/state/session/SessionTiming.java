package org.masticspread.state.session;

import java.time.Duration;

/**
 * The times of sessions.
 *
 * @param interval the time between heartbeats
 * @param ttl how long a session may stand still before it is fenced
 * @param margin how much earlier than the TTL the holder stops counting on its session; covers the
 *     difference between the rates of two clocks
 */
public record SessionTiming(Duration interval, Duration ttl, Duration margin) {
  /** A heartbeat each second, fenced after 5 seconds, with a margin of 1 second. */
  public static final SessionTiming DEFAULT =
      new SessionTiming(Duration.ofSeconds(1), Duration.ofSeconds(5), Duration.ofSeconds(1));

  /**
   * Checks the times.
   *
   * @throws IllegalArgumentException if the TTL is not longer than two intervals and the margin
   */
  public SessionTiming {
    if (ttl.compareTo(interval.multipliedBy(2).plus(margin)) <= 0) {
      throw new IllegalArgumentException("ttl: " + ttl + " is too short");
    }
  }

  /**
   * Returns the interval that keeps the heartbeats of a fleet within a rate of writes.
   *
   * @param liveVms the VMs that are live
   * @param writesPerSecond the writes per second for heartbeats of the whole fleet
   * @return the interval, never shorter than {@link #interval}; it must not be longer than half of
   *     the TTL
   */
  public Duration intervalFor(int liveVms, double writesPerSecond) {
    Duration budgeted = Duration.ofNanos((long) (liveVms / writesPerSecond * 1e9));
    return budgeted.compareTo(interval) > 0 ? budgeted : interval;
  }
}
