package org.masticspread.policy.request.internal;

/** Estimates the mean service time and its mean deviation by exponentially weighted averages. */
final class ServiceTime {
  private static final double GAIN = 0.05;
  private static final double UPPER_BOUND_DEVIATIONS = 4;
  private static final long INITIAL_ESTIMATE_NANOS = 50_000_000L;

  private double mean;
  private double deviation;
  private long samples;

  void add(long tookNanos) {
    if (samples++ == 0) {
      mean = tookNanos;
      deviation = tookNanos / 2.0;
      return;
    }
    double gain = Math.max(GAIN, 1.0 / samples);
    deviation += gain * (Math.abs(tookNanos - mean) - deviation);
    mean += gain * (tookNanos - mean);
  }

  boolean isKnown() {
    return samples > 0;
  }

  double meanNanos() {
    return isKnown() ? Math.max(1, mean) : INITIAL_ESTIMATE_NANOS;
  }

  double upperBoundNanos() {
    return isKnown() ? mean + UPPER_BOUND_DEVIATIONS * deviation : INITIAL_ESTIMATE_NANOS;
  }
}
