package org.masticspread.node.rack;

import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.masticspread.model.platform.TaskAttempt;

/** State of the contact of a rack owner with one worker. Thread-safe. */
final class WorkerContact {
  private static final int FAILURES_BEFORE_LAPSE = 3;

  private final Set<TaskAttempt> acknowledged = new HashSet<>();
  private Instant leasesUntil;
  private boolean sealed;
  private boolean lapsed;
  private int failures;
  private boolean underWay;

  /**
   * Creates the state for a worker that has not answered a seal yet.
   *
   * @param leasesUntil when the last lease that a former owner may have granted lapses
   */
  WorkerContact(Instant leasesUntil) {
    this.leasesUntil = leasesUntil;
  }

  /** Begins a contact; returns false if one is under way. */
  synchronized boolean tryBegin() {
    if (underWay) {
      return false;
    }
    underWay = true;
    return true;
  }

  synchronized void end() {
    underWay = false;
  }

  /** Returns whether the next contact must be a seal, which extends no lease. */
  synchronized boolean needsSeal() {
    return !sealed;
  }

  synchronized void recordSeal() {
    sealed = true;
    lapsed = false;
    failures = 0;
  }

  /** Records that a lease may be granted. Must be called before the renewal or start is sent. */
  synchronized void recordGrant(Instant until) {
    if (until.isAfter(leasesUntil)) {
      leasesUntil = until;
    }
  }

  synchronized void recordAnswer() {
    failures = 0;
  }

  /**
   * Records a contact without an answer. After {@value #FAILURES_BEFORE_LAPSE} in a row, leases are
   * no longer extended.
   */
  synchronized void recordFailure() {
    failures++;
    if (failures >= FAILURES_BEFORE_LAPSE) {
      sealed = false;
    }
  }

  /** Returns true once when every lease on an unreachable worker has certainly lapsed. */
  synchronized boolean detectLapse(Instant now) {
    if (sealed || lapsed || !now.isAfter(leasesUntil)) {
      return false;
    }
    lapsed = true;
    return true;
  }

  /** Returns whether the tasks that the worker runs are known. */
  synchronized boolean isKnown() {
    return sealed || lapsed;
  }

  synchronized void acknowledge(List<TaskAttempt> attempts) {
    acknowledged.addAll(attempts);
  }

  synchronized List<TaskAttempt> acknowledged() {
    return List.copyOf(acknowledged);
  }

  synchronized void removeAcknowledged(List<TaskAttempt> sent) {
    acknowledged.removeAll(sent);
  }
}
