package org.masticspread.ctl.measure.request;

import org.HdrHistogram.Histogram;

/** The results of the counted requests of one or more streams. */
final class StreamResult {
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final double NANOS_PER_MS = 1e6;

  private final Histogram waits = new Histogram(SIGNIFICANT_DIGITS);
  private final Histogram responses = new Histogram(SIGNIFICANT_DIGITS);
  private long offered;
  private long inTime;

  void add(Arrival arrival) {
    offered++;
    if (arrival.isAnsweredInTime()) {
      inTime++;
    }
    if (arrival.startedAt != Arrival.NEVER) {
      waits.recordValue(arrival.startedAt - arrival.arrivedAt);
    }
    if (arrival.answered) {
      responses.recordValue(arrival.endedAt - arrival.arrivedAt);
    }
  }

  void add(StreamResult other) {
    offered += other.offered;
    inTime += other.inTime;
    waits.add(other.waits);
    responses.add(other.responses);
  }

  long offered() {
    return offered;
  }

  long inTime() {
    return inTime;
  }

  double deadlinesMet() {
    return offered == 0 ? 1 : (double) inTime / offered;
  }

  double waitMs(double percentile) {
    return waits.getValueAtPercentile(percentile) / NANOS_PER_MS;
  }

  double responseMs(double percentile) {
    return responses.getValueAtPercentile(percentile) / NANOS_PER_MS;
  }
}
