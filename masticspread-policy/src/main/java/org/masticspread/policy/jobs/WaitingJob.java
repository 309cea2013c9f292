package org.masticspread.policy.jobs;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.masticspread.model.id.RackId;
import org.masticspread.model.resource.ResourceVector;
import org.masticspread.model.work.JobKind;
import org.masticspread.model.work.JobSpec;
import org.masticspread.model.work.Urgency;

/** A job of which tasks wait or were given out. Guarded by the queue's lock. */
final class WaitingJob {
  static final Comparator<WaitingJob> BY_LATEST_START =
      Comparator.<WaitingJob, Instant>comparing(j -> j.latestStart)
          .thenComparing(j -> j.submittedAt)
          .thenComparing(j -> j.sequence);

  /** The part of its slack after which a job is lifted, in percent. */
  private static final int LIFT_PERCENT = 50;

  private static final Duration URGENT_PATIENCE = Duration.ofSeconds(3);
  private static final Duration NORMAL_PATIENCE = Duration.ofMinutes(5);
  private static final Duration DEFERRABLE_PATIENCE = Duration.ofHours(1);

  final JobSpec spec;
  final Instant submittedAt;
  final long sequence;
  final TreeMap<Integer, Integer> attempts = new TreeMap<>();
  final Map<Integer, RackId> givenOut = new HashMap<>();
  boolean cancelled;
  boolean queued;
  long blockedRound;
  ResourceVector size;
  Instant latestStart;
  Instant liftAt;
  WaitReason reason = WaitReason.TURN;

  WaitingJob(JobSpec spec, Instant submittedAt, long sequence) {
    this.spec = spec;
    this.submittedAt = submittedAt;
    this.sequence = sequence;
  }

  /** Sets the times from an estimated run time; only while the job is in no ordered set. */
  void estimate(ResourceVector estimatedSize, Duration runTime) {
    size = estimatedSize;
    Instant patient = submittedAt.plus(patience(spec.urgency()));
    Instant byDeadline = spec.deadline() == null ? patient : spec.deadline().minus(runTime);
    latestStart = byDeadline.isBefore(patient) ? byDeadline : patient;
    if (spec.urgency() == Urgency.DEFERRABLE && spec.deadline() != null) {
      latestStart = byDeadline;
    }
    Duration slack = Duration.between(submittedAt, latestStart);
    liftAt =
        slack.isNegative()
            ? submittedAt
            : submittedAt.plus(slack.multipliedBy(LIFT_PERCENT).dividedBy(100));
  }

  private static Duration patience(Urgency urgency) {
    return switch (urgency) {
      case URGENT -> URGENT_PATIENCE;
      case NORMAL -> NORMAL_PATIENCE;
      case DEFERRABLE -> DEFERRABLE_PATIENCE;
    };
  }

  boolean isLifted(Instant now) {
    return spec.urgency() != Urgency.URGENT && !now.isBefore(liftAt);
  }

  boolean isGang() {
    return spec.kind() == JobKind.GANG;
  }

  boolean isWaiting() {
    return !cancelled && !attempts.isEmpty();
  }

  /** Returns what its next start takes: one task, or all of a gang. */
  ResourceVector nextSize() {
    return isGang() ? size.times(attempts.size()) : size;
  }
}
