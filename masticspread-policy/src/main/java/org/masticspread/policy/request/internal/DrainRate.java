package org.masticspread.policy.request.internal;

/** Measures the slots that a class gets while it is backlogged. */
final class DrainRate {
  private static final long WINDOW_NANOS = 250_000_000L;
  private static final long FORGET_NANOS = 5 * Times.NANOS_PER_SECOND;
  private static final double GAIN = 0.3;

  private boolean open;
  private long windowStart;
  private double servedNanos;
  private double slots;
  private long measuredAt;

  void backlogged(long now) {
    if (open) {
      return;
    }
    open = true;
    windowStart = now;
    servedNanos = 0;
    if (now - measuredAt > FORGET_NANOS) {
      slots = 0;
    }
  }

  void drained() {
    open = false;
  }

  void served(long now, double costNanos) {
    if (!open) {
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

  /** Returns the measured slots, 0 when nothing was measured lately. */
  double slots() {
    return slots;
  }
}
