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
final class LeaseRenewer {
  /** A worker answers a renewal after this, if no task ends before: three renewals in a lease. */
  private static final Duration LONG_POLL_TIMEOUT = Duration.ofMillis(1000);

  /** Between renewals that do not wait: failed ones, or with ends or starts not settled yet. */
  private static final Duration SHORT_RENEWAL_INTERVAL = Duration.ofMillis(250);

  /** A task whose percentage has not changed for so long stands still. */
  private static final Duration STALL_TIMEOUT = Duration.ofMillis(2500);

  /**
   * A worker that is silent but registered is waited for so long after its lease: what has probably
   * ended there would be run twice.
   */
  private static final Duration REPORT_GRACE_PERIOD = Duration.ofMillis(3000);

  /** Most runs take longer than this part of what is expected. */
  private static final double MIN_RUN_TIME_SHARE = 0.8;

  /** A worker that left the registry and does not answer is dropped after this. */
  private static final Duration DROP_AFTER = Duration.ofSeconds(10);

  private final CellPorts ports;
  private final Fleet fleet;
  private final Cell cell;
  private final Launcher launcher;
  private final WorkerReportHandler reports;

  LeaseRenewer(
      CellPorts ports, Fleet fleet, Cell cell, Launcher launcher, WorkerReportHandler reports) {
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
    boolean longPoll =
        !worker.renewImmediately
            && worker.hasAnswered
            && worker.failedRenewals == 0
            && settled(worker);
    worker.renewImmediately = false;
    OptionalLong leaseEnd = OptionalLong.empty();
    if (worker.hasAnswered && worker.failedRenewals == 0) {
      // A worker that does not answer is only looked at: each lease that may have reached it would
      // put off the time at which its tasks have certainly lapsed.
      long end = worker.leaseEnd(now(), cell.leaseMillis());
      worker.leaseUntilMillis = Math.max(worker.leaseUntilMillis, end);
      leaseEnd = OptionalLong.of(end);
    }
    long sentMillis = now();
    Renewal renewal =
        new Renewal(
            leaseEnd,
            ports.term().epoch(),
            worker.acknowledgedEnd,
            longPoll ? LONG_POLL_TIMEOUT : Duration.ZERO);
    var unused =
        ports
            .workers()
            .renew(worker.entry, renewal)
            .subscribe(
                result ->
                    ports.meter().timed("renewal", () -> handleResult(worker, result, sentMillis)));
  }

  private void handleResult(Worker worker, RenewResult result, long sentMillis) {
    worker.renewing = false;
    if (cell.closed()) {
      return;
    }
    if (result.outcome() == Outcome.FENCED) {
      cell.handleFenced(worker);
      return;
    }
    if (result.view().isEmpty()) {
      handleFailure(worker, result.outcome());
      return;
    }
    final boolean regained = worker.failedRenewals > 0;
    if (regained) {
      ports.log().event("worker-regained", worker.id(), "failed", worker.failedRenewals);
    }
    worker.failedRenewals = 0;
    worker.expiryLogged = false;
    final boolean first = !worker.hasAnswered;
    reports.handle(worker, result.view().get(), sentMillis);
    if (!isCurrent(worker)) {
      return;
    }
    if (first || regained) {
      cell.requestPass();
    }
    if (worker.renewImmediately || first || settled(worker)) {
      renew(worker);
    } else {
      // The worker would answer at once again and again.
      ports.timers().after(SHORT_RENEWAL_INTERVAL, () -> renew(worker));
    }
  }

  /** Tells whether its ends are durable, and all its starts have an answer or are listed. */
  private static boolean settled(Worker worker) {
    return worker.seenEnd == worker.acknowledgedEnd
        && worker.runs.values().stream().noneMatch(run -> run.phase == Run.Phase.UNSURE);
  }

  private boolean isCurrent(Worker worker) {
    return fleet.find(worker.id()).filter(known -> known == worker).isPresent();
  }

  private void handleFailure(Worker worker, Outcome outcome) {
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
              now() - worker.lastAnswerMillis);
    }
    worker.failedRenewals++;
    if (outcome == Outcome.OTHER_LIFE) {
      handleReplacement(worker);
    }
    if (worker.unregistered()
        && now() - worker.unregisteredSinceMillis > DROP_AFTER.toMillis()
        && worker.requestedListedAddress.isEmpty()
        && worker.runs.isEmpty()) {
      ports.log().event("worker-dropped", worker.id());
      fleet.remove(worker);
      return;
    }
    ports.timers().after(SHORT_RENEWAL_INTERVAL, () -> renew(worker));
  }

  /** Gives up what ran on a worker at whose address another incarnation answers. */
  private void handleReplacement(Worker worker) {
    if (worker.runs.isEmpty()) {
      return;
    }
    ports.log().event("worker-replaced", worker.id(), "runs", worker.runs.size());
    for (Run run : List.copyOf(worker.runs.values())) {
      cell.finishRun(run, "worker-replaced");
    }
  }

  /** Gives up what ran on a worker whose lease has certainly expired. */
  void expire(Worker worker) {
    if (worker.runs.isEmpty() || now() <= worker.leaseExpiryMillis()) {
      return;
    }
    if (!worker.expiryLogged) {
      worker.expiryLogged = true;
      ports
          .log()
          .event(
              "worker-lapsed",
              worker.id(),
              "runs",
              worker.runs.size(),
              "heardMsAgo",
              now() - worker.lastAnswerMillis);
    }
    boolean mayReport =
        !worker.unregistered()
            && now() - worker.leaseExpiryMillis() < REPORT_GRACE_PERIOD.toMillis();
    for (Run run : List.copyOf(worker.runs.values())) {
      if (mayReport && probablyEnded(run, worker)) {
        continue;
      }
      cell.finishRun(run, "lapsed");
    }
  }

  /** Tells whether a run has probably ended well before its lease did. */
  private static boolean probablyEnded(Run run, Worker worker) {
    long minRunMillis = (long) (run.expectedMillis * MIN_RUN_TIME_SHARE);
    return run.task != null
        && !run.stopRequested
        && run.expectedMillis > 0
        && run.phase == Run.Phase.RUNNING
        && run.startedAtMillis + minRunMillis < worker.leaseExpiryMillis();
  }

  /** Moves tasks away from a worker on which they stand still. */
  void stopStalledRuns(Worker worker) {
    for (Run run : List.copyOf(worker.runs.values())) {
      boolean stalled =
          run.phase == Run.Phase.RUNNING
              && !run.stopRequested
              && run.task != null
              && !run.task.step.spec.lasting()
              && run.percent < 100
              && worker.lastAnswerMillis - run.lastProgressMillis > STALL_TIMEOUT.toMillis()
              && (!run.task.step.spec.gang() || run.percent > 0);
      if (stalled) {
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
                now() - run.lastProgressMillis);
        launcher.stop(run, "stands still");
      }
    }
  }

  private long now() {
    return ports.clock().millis();
  }
}
