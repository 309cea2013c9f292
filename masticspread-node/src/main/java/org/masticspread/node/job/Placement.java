package org.masticspread.node.job;

import java.time.Instant;
import org.masticspread.model.id.RackId;
import org.masticspread.model.id.WorkerId;

/**
 * Rack and worker to which an attempt of a task was sent.
 *
 * @param attempt the attempt
 * @param rack the rack
 * @param worker the worker; null until the rack owner has reported it
 * @param confirmed whether the rack owner has confirmed that it runs
 * @param mayStartUntil the latest instant at which it can start
 * @param missedSeals the number of seals of the rack that did not list it
 */
record Placement(
    int attempt,
    RackId rack,
    WorkerId worker,
    boolean confirmed,
    Instant mayStartUntil,
    int missedSeals) {
  Placement runningOn(WorkerId newWorker) {
    return new Placement(attempt, rack, newWorker, true, mayStartUntil, 0);
  }

  Placement withMissedSeal() {
    return new Placement(attempt, rack, worker, confirmed, mayStartUntil, missedSeals + 1);
  }
}
