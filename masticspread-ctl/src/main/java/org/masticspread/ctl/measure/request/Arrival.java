package org.masticspread.ctl.measure.request;

/** A simulated request and its outcome. */
final class Arrival {
  static final long NEVER = -1;

  final long number;
  final RequestStream stream;
  final long arrivedAt;
  final long answerBy;

  /** The service time on the fastest executor. */
  final long serviceNanos;

  long startedAt = NEVER;
  long endedAt = NEVER;
  boolean answered;

  Arrival(long number, RequestStream stream, long arrivedAt, long serviceNanos) {
    this.number = number;
    this.stream = stream;
    this.arrivedAt = arrivedAt;
    this.answerBy = arrivedAt + stream.workClass().answerWithin().toNanos();
    this.serviceNanos = serviceNanos;
  }

  int team() {
    return stream.teamIndex();
  }

  int urgency() {
    return stream.workClass().urgency().ordinal();
  }

  boolean isAnsweredInTime() {
    return answered && endedAt <= answerBy;
  }
}
