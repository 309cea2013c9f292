package org.masticspread.cell.engine;

import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import org.masticspread.cell.port.WorkerPort.Outcome;
import org.masticspread.cell.port.WorkerPort.RenewResult;
import org.masticspread.cell.port.WorkerPort.Renewal;

/**
 * Keeps one renewal on its way to each worker: it extends the lease of all that runs there and
 * returns at the first end. Confined to the cell.
 */
final class Renewals {
  /** A worker answers a renewal after this, if no task ends before: three renewals in a lease. */
  private static final Duration RENEWAL_WAIT = Duration.ofMillis(1000);

  /** Between renewals that do not wait: failed ones, or with ends or starts not settled yet. */
  private static final Duration RENEWAL_PAUSE = Duration.ofMillis(250);

  /** A task whose percentage has not changed for so long stands still. */
  private static final Duration STANDING = Duration.ofMillis(2500);

  /**
   * A worker that is silent but registered is waited for so long after its lease: what has probably
   * ended there would be run twice.
   */
  private static final Duration REPORT_AWAITED = Duration.ofMillis(3000);

  /** Most runs take longer than this part of what is expected. */
  private static final double USUAL_PART = 0.8;

  /** A worker that left the registry and does not answer is dropped after this. */
  private static final Duration DROP_AFTER = Duration.ofSeconds(10);

  private final CellPorts ports;
  private final Fleet fleet;
  private final Cell cell;
  private final Launcher launcher;
  private final Reports reports;

  Renewals(CellPorts ports, Fleet fleet, Cell cell, Launcher launcher, Reports reports) {
    this.ports = ports;
    this.fleet = fleet;
    this.cell = cell;
    this.launcher = launcher;
    this.reports = reports;
  }

  /** Renews the lease of a worker, unless a call is on its way. */
  void renew(Worker worker) {
    if (cell.closed() || worker.renewing) {
      return;
    }
    worker.renewing = true;
    boolean wait =
        !worker.renewSoon && worker.heard && worker.failedRenewals == 0 && settled(worker);
    worker.renewSoon = false;
    OptionalLong leaseEnd = OptionalLong.empty();
    if (worker.heard && worker.failedRenewals == 0) {
      // A worker that does not answer is only looked at: each lease that may have reached it would
      // put off the time at which its tasks have certainly lapsed.
      long end = worker.leaseEnd(now(), cell.leaseMillis());
      worker.leaseUntilMillis = Math.max(worker.leaseUntilMillis, end);
      leaseEnd = OptionalLong.of(end);
    }
    long sent = now();
    Renewal renewal =
        new Renewal(
            leaseEnd,
            ports.term().epoch(),
            worker.acknowledgedEnd,
            wait ? RENEWAL_WAIT : Duration.ZERO);
    var unused =
        ports
            .workers()
            .renew(worker.entry, renewal)
            .subscribe(
                result -> ports.meter().timed("renewal", () -> renewed(worker, result, sent)));
  }

  private void renewed(Worker worker, RenewResult result, long sent) {
    worker.renewing = false;
    if (cell.closed()) {
      return;
    }
    if (result.outcome() == Outcome.FENCED) {
      cell.fenced(worker);
      return;
    }
    if (result.view().isEmpty()) {
      renewalFailed(worker, result.outcome());
      return;
    }
    final boolean regained = worker.failedRenewals > 0;
    if (regained) {
      ports.log().event("worker-regained", worker.id(), "failed", worker.failedRenewals);
    }
    worker.failedRenewals = 0;
    worker.lapseTold = false;
    final boolean first = !worker.heard;
    reports.take(worker, result.view().get(), sent);
    if (!fleetHas(worker)) {
      return;
    }
    if (first || regained) {
      cell.requestPass();
    }
    if (worker.renewSoon || first || settled(worker)) {
      renew(worker);
    } else {
      // The worker would answer at once again and again.
      ports.timers().after(RENEWAL_PAUSE, () -> renew(worker));
    }
  }

  /** Tells whether its ends are durable, and all its starts have an answer or are listed. */
  private static boolean settled(Worker worker) {
    return worker.seenEnd == worker.acknowledgedEnd
        && worker.runs.values().stream().noneMatch(run -> run.phase == Run.Phase.UNSURE);
  }

  private boolean fleetHas(Worker worker) {
    return fleet.find(worker.id()).filter(known -> known == worker).isPresent();
  }

  private void renewalFailed(Worker worker, Outcome outcome) {
    if (worker.failedRenewals == 0) {
      ports
          .log()
          .event(
              "worker-lost",
              worker.id(),
              "outcome",
              outcome,
              "runs",
              worker.runs.size(),
              "heardMsAgo",
              now() - worker.heardMillis);
    }
    worker.failedRenewals++;
    if (outcome == Outcome.OTHER_LIFE) {
      replaced(worker);
    }
    if (worker.gone()
        && now() - worker.missingSinceMillis > DROP_AFTER.toMillis()
        && worker.listingAddress.isEmpty()
        && worker.runs.isEmpty()) {
      ports.log().event("worker-dropped", worker.id());
      fleet.remove(worker);
      return;
    }
    ports.timers().after(RENEWAL_PAUSE, () -> renew(worker));
  }

  /** Gives up what ran on a worker at whose address another incarnation answers. */
  private void replaced(Worker worker) {
    if (worker.runs.isEmpty()) {
      return;
    }
    ports.log().event("worker-replaced", worker.id(), "runs", worker.runs.size());
    for (Run run : List.copyOf(worker.runs.values())) {
      cell.over(run, "worker-replaced");
    }
  }

  /** Gives up what ran on a worker whose lease has certainly expired. */
  void lapse(Worker worker) {
    if (worker.runs.isEmpty() || now() <= worker.lapsesAtMillis()) {
      return;
    }
    if (!worker.lapseTold) {
      worker.lapseTold = true;
      ports
          .log()
          .event(
              "worker-lapsed",
              worker.id(),
              "runs",
              worker.runs.size(),
              "heardMsAgo",
              now() - worker.heardMillis);
    }
    boolean mayReport =
        !worker.gone() && now() - worker.lapsesAtMillis() < REPORT_AWAITED.toMillis();
    for (Run run : List.copyOf(worker.runs.values())) {
      if (mayReport && hadTime(run, worker)) {
        continue;
      }
      cell.over(run, "lapsed");
    }
  }

  /** Tells whether a run has probably ended well before its lease did. */
  private static boolean hadTime(Run run, Worker worker) {
    long took = (long) (run.expectedMillis * USUAL_PART);
    return run.task != null
        && !run.stopWanted
        && run.expectedMillis > 0
        && run.phase == Run.Phase.RUNNING
        && run.startedAtMillis + took < worker.lapsesAtMillis();
  }

  /** Moves tasks away from a worker on which they stand still. */
  void findStanding(Worker worker) {
    for (Run run : List.copyOf(worker.runs.values())) {
      boolean stands =
          run.phase == Run.Phase.RUNNING
              && !run.stopWanted
              && run.task != null
              && !run.task.step.spec.lasting()
              && run.percent < 100
              && worker.heardMillis - run.progressAtMillis > STANDING.toMillis()
              && (!run.task.step.spec.gang() || run.percent > 0);
      if (stands) {
        fleet.quarantine.quarantine(worker.id(), now());
        ports
            .log()
            .event(
                "task-stands",
                run.taskName,
                "run",
                run.number,
                "worker",
                worker.id(),
                "percent",
                run.percent,
                "sinceMs",
                now() - run.progressAtMillis);
        launcher.stop(run, "stands still");
      }
    }
  }

  private long now() {
    return ports.clock().millis();
  }
}
