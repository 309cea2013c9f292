package org.masticspread.policy.request.internal;

import java.time.Duration;
import org.masticspread.model.result.ResultCode;
import org.masticspread.model.work.Urgency;
import org.masticspread.policy.request.Admission.Refused;
import org.masticspread.policy.request.RequestLimits;

/** Decides which requests are queued, and which queued request is evicted for another. */
final class AdmissionControl {
  private static final double WAIT_MARGIN = 1.1;
  private static final double SHORT_WAIT_FRACTION = 0.25;
  private static final double MIN_RUN_TIME_FRACTION = 0.5;
  private static final Duration NO_ENDPOINT_RETRY_AFTER = Duration.ofSeconds(1);
  private static final long MIN_RETRY_AFTER_NANOS = 10_000_000L;

  private final RequestLimits limits;
  private final Shares shares;
  private final Router router;

  AdmissionControl(RequestLimits limits, Shares shares, Router router) {
    this.limits = limits;
    this.shares = shares;
    this.router = router;
  }

  /** Returns the refusal of an entry, or null if it may be queued. */
  Refused check(Entry entry, long now, boolean canStartAtOnce) {
    if (entry.answerBy <= now) {
      return refused(ResultCode.DEADLINE_PASSED, 0, "its answer-by time has passed");
    }
    if (router.slots() == 0) {
      return new Refused(
          ResultCode.NO_ENDPOINT,
          NO_ENDPOINT_RETRY_AFTER,
          "no endpoint of its pool takes new work");
    }
    ClassQueue queue = entry.queue;
    double waitNanos = queue.expectedWaitNanos(router.slots());
    if (queue.entries.size() >= queue.config.queueLimit()) {
      return refused(ResultCode.QUEUE_FULL, waitNanos, "the queue of its work class is full");
    }
    if (entry.sizeBytes() > limits.maxQueuedBytes()) {
      return new Refused(ResultCode.TOO_LARGE, Duration.ZERO, "its body exceeds the queue limit");
    }
    if (queue.entries.bytes() + entry.sizeBytes() > queue.config.queueLimitBytes()) {
      return refused(
          ResultCode.QUEUE_FULL, waitNanos, "the queue of its work class holds too many bytes");
    }
    if (cannotFinishInTime(entry, now)) {
      return refused(
          ResultCode.OVERLOADED, 0, "its run time exceeds the time left until its answer-by time");
    }
    return canStartAtOnce ? null : checkExpectedWait(entry, now, waitNanos);
  }

  private Refused checkExpectedWait(Entry entry, long now, double waitNanos) {
    ServiceTime service = entry.queue.serviceTime;
    if (waitNanos < SHORT_WAIT_FRACTION * service.meanNanos()) {
      return null;
    }
    double lateNanos = now + WAIT_MARGIN * waitNanos + service.upperBoundNanos() - entry.answerBy;
    if (lateNanos <= 0) {
      return null;
    }
    return refused(
        ResultCode.OVERLOADED, lateNanos, "its queue drains too slowly to answer it in time");
  }

  private static Refused refused(ResultCode code, double retryNanos, String reason) {
    Duration retryAfter =
        code == ResultCode.DEADLINE_PASSED
            ? Duration.ZERO
            : Duration.ofNanos(Math.max(MIN_RETRY_AFTER_NANOS, (long) retryNanos));
    return new Refused(code, retryAfter, reason);
  }

  /** Returns the latest time at which starting the entry is still worthwhile. */
  long startDeadline(Entry entry) {
    return entry.answerBy - (long) (MIN_RUN_TIME_FRACTION * entry.queue.serviceTime.meanNanos());
  }

  private boolean cannotFinishInTime(Entry entry, long now) {
    return entry.queue.serviceTime.isKnown() && startDeadline(entry) <= now;
  }

  /** Returns the queued entry to evict for the given one, or null if none may be evicted. */
  Entry victimFor(Entry entry, long now) {
    boolean overFloor = entry.queue.isOverFloor(now, limits.burst().toNanos());
    ClassQueue victim = null;
    for (ClassQueue queue : shares.classes()) {
      boolean eligible = !overFloor || isLessUrgent(queue, entry.queue);
      if (eligible && queue.isOverFloor(now, limits.burst().toNanos()) && queue.isBacklogged()) {
        victim = preferredVictim(victim, queue);
      }
    }
    return victim == null ? null : victim.entries.last();
  }

  private static boolean isLessUrgent(ClassQueue queue, ClassQueue other) {
    return queue.urgency().ordinal() > other.urgency().ordinal();
  }

  private static ClassQueue preferredVictim(ClassQueue one, ClassQueue other) {
    if (one == null || isLessUrgent(other, one)) {
      return other;
    }
    if (isLessUrgent(one, other)) {
      return one;
    }
    return other.entries.size() > one.entries.size() ? other : one;
  }

  /** Returns whether slots are reserved for the class. */
  static boolean isUrgent(ClassQueue queue) {
    return queue.urgency() == Urgency.URGENT;
  }
}
