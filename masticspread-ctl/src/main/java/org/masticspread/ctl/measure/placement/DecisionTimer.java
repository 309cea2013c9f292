package org.masticspread.ctl.measure.placement;

import org.HdrHistogram.Histogram;

/** A timer for one kind of decision. */
final class DecisionTimer {
  private static final long MAX_NANOS = 10_000_000_000L;
  private static final double NANOS_PER_MICRO = 1e3;
  private static final double NANOS_PER_SECOND = 1e9;

  private final String decision;
  private final Histogram nanos = new Histogram(MAX_NANOS, 3);
  private long totalNanos;
  private long decisions;

  DecisionTimer(String decision) {
    this.decision = decision;
  }

  /** Runs and times a step that makes one decision. */
  void time(Runnable step) {
    long start = System.nanoTime();
    step.run();
    add(System.nanoTime() - start, 1);
  }

  /** Adds the time of a step that made several decisions, divided evenly between them. */
  void add(long elapsedNanos, int count) {
    totalNanos += elapsedNanos;
    decisions += count;
    nanos.recordValueWithCount(Math.min(MAX_NANOS, elapsedNanos / count), count);
  }

  /** Discards all recorded times. */
  void reset() {
    nanos.reset();
    totalNanos = 0;
    decisions = 0;
  }

  DecisionRow row() {
    return new DecisionRow(
        decision,
        nanos.getValueAtPercentile(50) / NANOS_PER_MICRO,
        nanos.getValueAtPercentile(99) / NANOS_PER_MICRO,
        totalNanos == 0 ? 0 : decisions * NANOS_PER_SECOND / totalNanos);
  }
}
