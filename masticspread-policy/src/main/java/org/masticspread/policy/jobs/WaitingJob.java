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

/** A job with waiting or assigned tasks. Guarded by the lock of the queue. */
final class WaitingJob {
  static final Comparator<WaitingJob> BY_LATEST_START =
      Comparator.<WaitingJob, Instant>comparing(j -> j.latestStart)
          .thenComparing(j -> j.submittedAt)
          .thenComparing(j -> j.sequence);

  /**
   * The percentage of its slack after which a job is lifted: served like urgent work while its team
   * is below its entitlement.
   */
  private static final int LIFT_PERCENT = 50;

  private static final Duration URGENT_MAX_WAIT = Duration.ofSeconds(3);
  private static final Duration NORMAL_MAX_WAIT = Duration.ofMinutes(5);
  private static final Duration DEFERRABLE_MAX_WAIT = Duration.ofHours(1);

  final JobSpec spec;
  final Instant submittedAt;
  final long sequence;
  final TreeMap<Integer, Integer> attempts = new TreeMap<>();
  final Map<Integer, RackId> assigned = new HashMap<>();
  boolean cancelled;
  boolean queued;
  long blockedInRound;
  ResourceVector size;
  Instant latestStart;
  Instant liftAt;
  WaitReason reason = WaitReason.TURN;

  WaitingJob(JobSpec spec, Instant submittedAt, long sequence) {
    this.spec = spec;
    this.submittedAt = submittedAt;
    this.sequence = sequence;
  }

  /** Sets the size and the start times. The job must not be in an ordered set. */
  void estimate(ResourceVector estimatedSize, Duration runTime) {
    size = estimatedSize;
    Instant byMaxWait = submittedAt.plus(maxWait(spec.urgency()));
    Instant byDeadline = spec.deadline() == null ? byMaxWait : spec.deadline().minus(runTime);
    latestStart = byDeadline.isBefore(byMaxWait) ? byDeadline : byMaxWait;
    if (spec.urgency() == Urgency.DEFERRABLE && spec.deadline() != null) {
      latestStart = byDeadline;
    }
    Duration slack = Duration.between(submittedAt, latestStart);
    liftAt =
        slack.isNegative()
            ? submittedAt
            : submittedAt.plus(slack.multipliedBy(LIFT_PERCENT).dividedBy(100));
  }

  private static Duration maxWait(Urgency urgency) {
    return switch (urgency) {
      case URGENT -> URGENT_MAX_WAIT;
      case NORMAL -> NORMAL_MAX_WAIT;
      case DEFERRABLE -> DEFERRABLE_MAX_WAIT;
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

  /** Returns the size of the next start: that of one task, or of all tasks of a gang. */
  ResourceVector nextSize() {
    return isGang() ? size.times(attempts.size()) : size;
  }
}
