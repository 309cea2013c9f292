package org.masticspread.policy.request.internal;

/**
 * Computes the number of slots to reserve for urgent work within its floor.
 *
 * <p>If urgent work occupies the fraction r of the slots, the probability that an arrival finds n
 * reserved slots occupied is about r to the power n. Half of the reserved slots are also open to
 * urgent work after a burst, so the other half alone must be large enough.
 */
final class UrgentReserve {
  private static final long WINDOW_NANOS = 500_000_000L;
  private static final double GAIN = 0.3;
  private static final double MAX_MISS_PROBABILITY = 0.001;
  private static final int MAX_RESERVE_DIVISOR = 8;

  private long windowStart;
  private double servedNanos;
  private double urgentSlots;

  /** Adds slot time charged to urgent work within its floor. */
  void addServed(double costNanos) {
    servedNanos += costNanos;
  }

  /** Returns the number of slots to reserve out of the given total. */
  int reservedSlots(long now, int totalSlots) {
    roll(now);
    double utilization = totalSlots == 0 ? 0 : Math.min(0.99, urgentSlots / totalSlots);
    if (utilization <= 0) {
      return 0;
    }
    int half = (int) Math.ceil(Math.log(MAX_MISS_PROBABILITY) / Math.log(utilization));
    return Math.min(2 * half, totalSlots / MAX_RESERVE_DIVISOR);
  }

  private void roll(long now) {
    long elapsed = now - windowStart;
    if (elapsed < WINDOW_NANOS) {
      return;
    }
    urgentSlots += GAIN * (servedNanos / elapsed - urgentSlots);
    windowStart = now;
    servedNanos = 0;
  }
}
