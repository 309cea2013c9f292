package org.masticspread.policy.request.internal;

/** Measures the number of slots that a work class gets while it is backlogged. */
final class DrainRate {
  private static final long WINDOW_NANOS = 250_000_000L;
  private static final long EXPIRY_NANOS = 5 * Times.NANOS_PER_SECOND;
  private static final double GAIN = 0.3;

  private boolean measuring;
  private long windowStart;
  private double servedNanos;
  private double slots;
  private long measuredAt;

  void start(long now) {
    if (measuring) {
      return;
    }
    measuring = true;
    windowStart = now;
    servedNanos = 0;
    if (now - measuredAt > EXPIRY_NANOS) {
      slots = 0;
    }
  }

  void stop() {
    measuring = false;
  }

  void addServed(long now, double costNanos) {
    if (!measuring) {
      return;
    }
    servedNanos += costNanos;
    long elapsed = now - windowStart;
    if (elapsed < WINDOW_NANOS) {
      return;
    }
    double sample = servedNanos / elapsed;
    slots = slots == 0 ? sample : slots + GAIN * (sample - slots);
    measuredAt = now;
    windowStart = now;
    servedNanos = 0;
  }

  /** Returns the measured number of slots, 0 if there is no recent measurement. */
  double slots() {
    return slots;
  }
}
