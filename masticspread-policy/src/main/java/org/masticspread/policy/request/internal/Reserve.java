package org.masticspread.policy.request.internal;

/**
 * Sizes the slots that stay free for urgent work within its floor.
 *
 * <p>With urgent work taking the part r of the slots, about r to the power n of its arrivals find n
 * kept slots taken. Half of the kept slots are open to urgent work after a burst as well, so half
 * of them are enough for the rest.
 */
final class Reserve {
  private static final long WINDOW_NANOS = 500_000_000L;
  private static final double GAIN = 0.3;
  private static final double MISSED_PART = 0.001;
  private static final int MOST_DIVISOR = 8;

  private long windowStart;
  private double windowNanos;
  private double urgentSlots;

  /** Takes in urgent slot time within floors. */
  void served(double costNanos) {
    windowNanos += costNanos;
  }

  /** Returns the slots to keep free out of the given ones. */
  int slots(long now, int slots) {
    roll(now);
    double part = slots == 0 ? 0 : Math.min(0.99, urgentSlots / slots);
    if (part <= 0) {
      return 0;
    }
    int half = (int) Math.ceil(Math.log(MISSED_PART) / Math.log(part));
    return Math.min(2 * half, slots / MOST_DIVISOR);
  }

  private void roll(long now) {
    long elapsed = now - windowStart;
    if (elapsed < WINDOW_NANOS) {
      return;
    }
    urgentSlots += GAIN * (windowNanos / elapsed - urgentSlots);
    windowStart = now;
    windowNanos = 0;
  }
}
