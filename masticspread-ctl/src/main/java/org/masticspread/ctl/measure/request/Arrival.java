package org.masticspread.ctl.measure.request;

/** One request of a run and what became of it. */
final class Arrival {
  static final long NEVER = -1;

  final long number;
  final RequestStream stream;
  final long at;
  final long answerBy;

  /** The service time at the fastest executor. */
  final long workNanos;

  long startedAt = NEVER;
  long endedAt = NEVER;
  boolean answered;

  Arrival(long number, RequestStream stream, long at, long workNanos) {
    this.number = number;
    this.stream = stream;
    this.at = at;
    this.answerBy = at + stream.workClass().answerWithin().toNanos();
    this.workNanos = workNanos;
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
