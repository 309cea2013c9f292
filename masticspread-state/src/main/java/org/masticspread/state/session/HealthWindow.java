package org.masticspread.state.session;

/**
 * A time window in which every heartbeat of this VM succeeded.
 *
 * @param since when the first heartbeat of the window was sent, in monotonic nanoseconds
 * @param until when the last heartbeat of the window was sent, in monotonic nanoseconds
 */
public record HealthWindow(long since, long until) {
  /**
   * Returns how much of the window lies after an instant.
   *
   * @param seen the instant, in monotonic nanoseconds
   * @return the duration in nanoseconds; zero or negative if the window ends at or before the
   *     instant
   */
  public long elapsedSince(long seen) {
    return until - (since - seen > 0 ? since : seen);
  }
}
