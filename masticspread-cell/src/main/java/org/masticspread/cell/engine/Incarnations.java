package org.masticspread.cell.engine;

import java.util.List;
import org.masticspread.cell.port.WorkerPort.OrderResult;
import org.masticspread.cell.port.WorkerPort.Outcome;
import org.masticspread.cell.port.WorkerView;

/**
 * Follows which incarnation of each worker answers. Confined to the cell's thread.
 *
 * <p>A worker that starts again under its id takes calls that were made for its former incarnation,
 * until it has seen a higher fencing token. So whenever another incarnation may answer, the
 * generation in the token rises, and the next renewal neither grants a lease nor acknowledges ends.
 * The incarnation that answers it refuses all earlier calls from then on, and its list shows which
 * of them it has carried out.
 */
final class Incarnations {
  private final CellPorts ports;
  private final Fleet fleet;
  private final Cell cell;
  private final UsedWorkers usedWorkers;
  private final InheritedLeases inheritedLeases;

  Incarnations(
      CellPorts ports,
      Fleet fleet,
      Cell cell,
      UsedWorkers usedWorkers,
      InheritedLeases inheritedLeases) {
    this.ports = ports;
    this.fleet = fleet;
    this.cell = cell;
    this.usedWorkers = usedWorkers;
    this.inheritedLeases = inheritedLeases;
  }

  /** Handles the registry entry of a worker, which may show a newer incarnation. */
  void registered(Worker worker) {
    long registered = worker.entry.incarnation();
    if (registered <= worker.registeredIncarnation) {
      return;
    }
    worker.registeredIncarnation = registered;
    if (worker.incarnationConfirmed && registered > worker.incarnation) {
      raiseGeneration(worker, registered, "registry");
    }
  }

  /**
   * Handles the answer to a start of the present generation. A clock that is behind the one that
   * was known when the start was sent belongs to another incarnation.
   */
  void startAnswered(Worker worker, OrderResult result, long knownClockMillis) {
    long clockMillis = result.clockMillis().orElse(knownClockMillis);
    boolean behind = clockMillis < knownClockMillis;
    boolean other = result.outcome() == Outcome.OTHER_LIFE;
    if (worker.incarnationConfirmed && (behind || other)) {
      raiseGeneration(worker, 0, other ? "start" : "clock");
      releaseRunsOf(worker);
    }
  }

  /**
   * Handles the answer to the latest renewal of a worker; returns whether the incarnation that sent
   * it is confirmed.
   */
  boolean answered(Worker worker, WorkerView view) {
    boolean changed = view.incarnation() != worker.incarnation;
    if (worker.incarnationConfirmed && changed) {
      raiseGeneration(worker, view.incarnation(), "renewal");
      releaseRunsOf(worker);
      return false;
    }
    if (!worker.incarnationConfirmed) {
      confirm(worker, view, changed);
    }
    return true;
  }

  /** Makes the next incarnation that answers refuse all calls that have been sent so far. */
  private void raiseGeneration(Worker worker, long incarnation, String source) {
    worker.generation++;
    worker.incarnationConfirmed = false;
    worker.unconfirmedLeaseExpiryMillis = now() + inheritedLeases.longestLeaseMillis();
    ports
        .log()
        .event(
            "worker-life-suspected",
            worker.id(),
            "life",
            incarnation,
            "before",
            worker.incarnation,
            "shownBy",
            source,
            "runs",
            worker.runs.size(),
            "generation",
            worker.generation);
    cell.renewAgain(worker);
  }

  /** Releases the runs that are over with the former incarnation, which listed them. */
  private void releaseRunsOf(Worker worker) {
    for (Run run : List.copyOf(worker.runs.values())) {
      if (run.listedIncarnation == worker.incarnation) {
        cell.finishRun(run, "worker-restarted");
      }
    }
  }

  private void confirm(Worker worker, WorkerView view, boolean changed) {
    worker.incarnationConfirmed = true;
    if (!worker.hasAnswered) {
      confirmFirst(worker, view);
      return;
    }
    if (!changed) {
      return;
    }
    ports
        .log()
        .event(
            "worker-new-life",
            worker.id(),
            "life",
            view.incarnation(),
            "before",
            worker.incarnation,
            "clock",
            view.clockMillis(),
            "runs",
            worker.runs.size(),
            "running",
            view.running().size(),
            "ended",
            view.ended().size());
    fleet.speeds.forget(worker.id());
    fleet.quarantine.recordSuccess(worker.id());
    worker.seenEnd = 0;
    worker.acknowledgedEnd = 0;
    worker.deliveredAcknowledgement = 0;
    enter(worker, view);
    expectStrayLease(worker, view);
    usedWorkers.ensureListed(worker);
  }

  /** Handles the first answer in this epoch, by which the worker refuses former leaders. */
  private void confirmFirst(Worker worker, WorkerView view) {
    worker.hasAnswered = true;
    enter(worker, view);
    if (worker.inheritedFromOther(view.incarnation())) {
      expectStrayLease(worker, view);
    } else if (worker.mayHoldInheritedLease) {
      worker.strayLeaseUntilMillis =
          worker.inheritedListing.map(used -> used.strayLeaseUntilMillis()).orElse(0L);
      long horizon = view.clockMillis() + LeadershipProof.LEASE_HORIZON.toMillis();
      worker.leaseUntilMillis = Math.max(horizon, worker.strayLeaseUntilMillis);
    }
    usedWorkers.ensureListed(worker);
    ports
        .log()
        .event(
            "worker-heard",
            worker.id(),
            "running",
            view.running().size(),
            "ended",
            view.ended().size(),
            "epoch",
            ports.term().epoch(),
            "life",
            view.incarnation(),
            "strayLeaseUntil",
            worker.strayLeaseUntilMillis);
  }

  private void enter(Worker worker, WorkerView view) {
    worker.incarnation = view.incarnation();
    worker.incarnationSinceMillis = now();
  }

  /** Expects the longest lease that a call for an earlier incarnation can have granted by now. */
  private void expectStrayLease(Worker worker, WorkerView view) {
    long until = view.clockMillis() + ports.limits().maxLease().toMillis();
    worker.leaseUntilMillis = until;
    worker.strayLeaseUntilMillis = until;
  }

  private long now() {
    return ports.clock().millis();
  }
}
