package org.masticspread.policy.request.internal;

/** Measures a moving average of events per second. */
final class RateMeter {
  private static final double GAIN = 0.5;

  private long windowStart;
  private long count;
  private double rate;

  void recordEvent(long now) {
    roll(now);
    count++;
  }

  double perSecond(long now) {
    roll(now);
    return rate;
  }

  private void roll(long now) {
    long elapsed = now - windowStart;
    if (elapsed < Times.NANOS_PER_SECOND) {
      return;
    }
    rate += GAIN * ((double) count * Times.NANOS_PER_SECOND / elapsed - rate);
    windowStart = now;
    count = 0;
  }
}
