package org.masticspread.node.job;

import java.time.Instant;
import org.masticspread.model.id.RackId;
import org.masticspread.model.id.WorkerId;

/**
 * Where an attempt was sent.
 *
 * @param attempt the attempt
 * @param rack the rack
 * @param worker the worker; null until the rack owner has told it
 * @param settled whether the rack owner has told that it runs
 * @param mayStartUntil after this instant it can no longer start
 * @param missing how often a seal of the rack did not list it
 */
record Placement(
    int attempt,
    RackId rack,
    WorkerId worker,
    boolean settled,
    Instant mayStartUntil,
    int missing) {
  Placement runningOn(WorkerId newWorker) {
    return new Placement(attempt, rack, newWorker, true, mayStartUntil, 0);
  }

  Placement missed() {
    return new Placement(attempt, rack, worker, settled, mayStartUntil, missing + 1);
  }
}
