package org.masticspread.state.session;

/**
 * An unbroken run of successful heartbeats of this VM.
 *
 * @param since the start of the first one, in monotonic nanoseconds
 * @param until the start of the last one, in monotonic nanoseconds
 */
public record HealthWindow(long since, long until) {
  /**
   * Returns how long the run has lasted since an instant.
   *
   * @param seen the instant, in monotonic nanoseconds
   * @return the time in nanoseconds, zero or negative when the run has not gone on since
   */
  public long elapsedSince(long seen) {
    return until - (since - seen > 0 ? since : seen);
  }
}
