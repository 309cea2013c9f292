package org.masticspread.policy.request.internal;

import java.time.Duration;
import org.masticspread.model.result.ResultCode;
import org.masticspread.model.work.Urgency;
import org.masticspread.policy.request.Admission.Refused;
import org.masticspread.policy.request.RequestLimits;

/** Decides which requests may wait, and which waiting request makes room for another. */
final class Gate {
  private static final double WAIT_MARGIN = 1.1;
  private static final double SHORT_WAIT_PART = 0.25;
  private static final double HOPELESS_PART = 0.5;
  private static final Duration NO_ENDPOINT_RETRY = Duration.ofSeconds(1);
  private static final long LEAST_RETRY_NANOS = 10_000_000L;

  private final RequestLimits limits;
  private final Shares shares;
  private final Router router;

  Gate(RequestLimits limits, Shares shares, Router router) {
    this.limits = limits;
    this.shares = shares;
    this.router = router;
  }

  /** Returns why the entry is refused, or null when it may wait. */
  Refused refuse(Entry entry, long now, boolean slotAtOnce) {
    if (entry.answerBy <= now) {
      return refused(ResultCode.DEADLINE_PASSED, 0, "its answer-by time has passed");
    }
    if (router.slots() == 0) {
      return new Refused(
          ResultCode.NO_ENDPOINT, NO_ENDPOINT_RETRY, "no endpoint of its pool takes new work");
    }
    ClassQueue queue = entry.queue;
    double waitNanos = queue.expectedWaitNanos(router.slots());
    if (queue.entries.size() >= queue.config.queueLimit()) {
      return refused(ResultCode.QUEUE_FULL, waitNanos, "the queue of its work class is full");
    }
    if (entry.sizeBytes() > limits.queuedBytes()) {
      return new Refused(ResultCode.TOO_LARGE, Duration.ZERO, "its body is over the queue limit");
    }
    if (queue.entries.bytes() + entry.sizeBytes() > queue.config.queueLimitBytes()) {
      return refused(ResultCode.QUEUE_FULL, waitNanos, "its work class holds too many bytes");
    }
    if (isHopeless(entry, now)) {
      return refused(ResultCode.OVERLOADED, 0, "its answer-by time is shorter than its run time");
    }
    return slotAtOnce ? null : tooLate(entry, now, waitNanos);
  }

  private Refused tooLate(Entry entry, long now, double waitNanos) {
    ServiceTime service = entry.queue.serviceTime;
    if (waitNanos < SHORT_WAIT_PART * service.meanNanos()) {
      return null;
    }
    double late = now + WAIT_MARGIN * waitNanos + service.upperNanos() - entry.answerBy;
    if (late <= 0) {
      return null;
    }
    return refused(ResultCode.OVERLOADED, late, "it can't be answered in time at the drain rate");
  }

  private static Refused refused(ResultCode code, double retryNanos, String reason) {
    Duration retryAfter =
        code == ResultCode.DEADLINE_PASSED
            ? Duration.ZERO
            : Duration.ofNanos(Math.max(LEAST_RETRY_NANOS, (long) retryNanos));
    return new Refused(code, retryAfter, reason);
  }

  /** Returns when it is too late to start the entry. */
  long tooLateAt(Entry entry) {
    return entry.answerBy - (long) (HOPELESS_PART * entry.queue.serviceTime.meanNanos());
  }

  private boolean isHopeless(Entry entry, long now) {
    return entry.queue.serviceTime.isKnown() && tooLateAt(entry) <= now;
  }

  /** Returns the waiting entry that makes room for the given one, or null if none may. */
  Entry victimFor(Entry entry, long now) {
    boolean overFloor = entry.queue.isOverFloor(now, limits.burst().toNanos());
    ClassQueue victim = null;
    for (ClassQueue queue : shares.classes()) {
      boolean eligible = !overFloor || isLessUrgent(queue, entry.queue);
      if (eligible && queue.isOverFloor(now, limits.burst().toNanos()) && queue.isBacklogged()) {
        victim = worse(victim, queue);
      }
    }
    return victim == null ? null : victim.entries.last();
  }

  private static boolean isLessUrgent(ClassQueue queue, ClassQueue than) {
    return queue.urgency().ordinal() > than.urgency().ordinal();
  }

  private static ClassQueue worse(ClassQueue one, ClassQueue other) {
    if (one == null || isLessUrgent(other, one)) {
      return other;
    }
    if (isLessUrgent(one, other)) {
      return one;
    }
    return other.entries.size() > one.entries.size() ? other : one;
  }

  /** Tells whether a class keeps slots free for itself. */
  static boolean isUrgent(ClassQueue queue) {
    return queue.urgency() == Urgency.URGENT;
  }
}
