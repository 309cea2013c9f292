package org.masticspread.node.rack;

import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.masticspread.model.platform.TaskAttempt;

/** What a rack owner knows of its contact with one worker. Guarded by its own lock. */
final class WorkerLink {
  private static final int FAILURES_BEFORE_LAPSE = 3;

  private final Set<TaskAttempt> acknowledged = new HashSet<>();
  private Instant leasesUntil;
  private boolean sealed;
  private boolean lapsed;
  private int failures;
  private boolean entered;

  /**
   * Creates a link to a worker that has not answered a seal yet.
   *
   * @param leasesUntil when the leases that a former owner may have granted have lapsed
   */
  WorkerLink(Instant leasesUntil) {
    this.leasesUntil = leasesUntil;
  }

  /** Begins a contact, unless one is under way. */
  synchronized boolean enter() {
    if (entered) {
      return false;
    }
    entered = true;
    return true;
  }

  synchronized void leave() {
    entered = false;
  }

  /** Tells whether the next contact must be a seal, which extends no lease. */
  synchronized boolean needsSeal() {
    return !sealed;
  }

  synchronized void sealed() {
    sealed = true;
    lapsed = false;
    failures = 0;
  }

  /** Notes, before a renewal or a start is sent, that its lease may be granted. */
  synchronized void granting(Instant until) {
    if (until.isAfter(leasesUntil)) {
      leasesUntil = until;
    }
  }

  synchronized void answered() {
    failures = 0;
  }

  /** Notes a contact without an answer; after a few, leases are no longer extended. */
  synchronized void failed() {
    failures++;
    if (failures >= FAILURES_BEFORE_LAPSE) {
      sealed = false;
    }
  }

  /** Tells once that every lease of a silent worker has certainly lapsed. */
  synchronized boolean takeLapse(Instant now) {
    if (sealed || lapsed || !now.isAfter(leasesUntil)) {
      return false;
    }
    lapsed = true;
    return true;
  }

  /** Tells whether nothing is unknown about the worker. */
  synchronized boolean isKnown() {
    return sealed || lapsed;
  }

  synchronized void acknowledge(List<TaskAttempt> attempts) {
    acknowledged.addAll(attempts);
  }

  synchronized List<TaskAttempt> acknowledged() {
    return List.copyOf(acknowledged);
  }

  synchronized void forget(List<TaskAttempt> told) {
    acknowledged.removeAll(told);
  }
}
