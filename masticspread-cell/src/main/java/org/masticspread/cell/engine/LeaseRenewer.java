package org.masticspread.cell.engine;

import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import org.masticspread.cell.port.WorkerPort.Outcome;
import org.masticspread.cell.port.WorkerPort.RenewResult;
import org.masticspread.cell.port.WorkerPort.Renewal;

/**
 * Keeps one renewal in flight to each worker. A renewal extends the lease of all runs of the
 * worker, and returns as soon as one of them ends. Confined to the cell's thread.
 */
final class LeaseRenewer {
  /** How long a worker holds a renewal if no run ends, so that about three fit in a lease. */
  private static final Duration LONG_POLL_TIMEOUT = Duration.ofMillis(1000);

  /**
   * Delay between renewals that are not held: after failures, and while ends or starts are open.
   */
  private static final Duration SHORT_RENEWAL_INTERVAL = Duration.ofMillis(250);

  /** Time without a change of the percentage after which a task counts as stalled. */
  private static final Duration STALL_TIMEOUT = Duration.ofMillis(2500);

  /**
   * How long after the end of its lease a silent but registered worker may still report runs that
   * have probably ended there, to avoid running their tasks twice.
   */
  private static final Duration REPORT_GRACE_PERIOD = Duration.ofMillis(3000);

  /** Share of the expected run time that most runs exceed. */
  private static final double MIN_RUN_TIME_SHARE = 0.8;

  /** How long after it left the registry a worker that does not answer is dropped. */
  private static final Duration DROP_AFTER = Duration.ofSeconds(10);

  private final CellPorts ports;
  private final Fleet fleet;
  private final Cell cell;
  private final Launcher launcher;
  private final WorkerReportHandler reportHandler;

  LeaseRenewer(
      CellPorts ports,
      Fleet fleet,
      Cell cell,
      Launcher launcher,
      WorkerReportHandler reportHandler) {
    this.ports = ports;
    this.fleet = fleet;
    this.cell = cell;
    this.launcher = launcher;
    this.reportHandler = reportHandler;
  }

  /** Renews the lease of a worker, unless a renewal is in flight. */
  void renew(Worker worker) {
    if (cell.closed() || worker.renewing) {
      return;
    }
    worker.renewing = true;
    final boolean leads = cell.leads();
    boolean longPoll =
        leads
            && !worker.renewImmediately
            && worker.incarnationConfirmed
            && worker.failedRenewals == 0
            && settled(worker);
    worker.renewImmediately = false;
    OptionalLong leaseEnd = OptionalLong.empty();
    long acknowledged = 0;
    if (leads && worker.incarnationConfirmed && worker.failedRenewals == 0) {
      // A worker that does not answer is only polled: each further lease that may have reached it
      // would postpone the time at which its runs have certainly expired, and the incarnation that
      // answers next may number its ends anew.
      long end = worker.leaseEnd(now(), cell.leaseMillis());
      worker.leaseUntilMillis = Math.max(worker.leaseUntilMillis, end);
      leaseEnd = OptionalLong.of(end);
      boolean delivered = worker.deliveredAcknowledgement == worker.acknowledgedEnd;
      acknowledged = delivered ? 0 : worker.acknowledgedEnd;
    }
    final long sentMillis = now();
    final long number = ++worker.renewalNumber;
    Renewal renewal =
        new Renewal(
            leaseEnd,
            worker.token(ports.term().epoch()),
            acknowledged,
            longPoll ? LONG_POLL_TIMEOUT : Duration.ZERO,
            worker.incarnation);
    var unused =
        ports
            .workers()
            .renew(worker.entry, renewal)
            .subscribe(
                result -> {
                  if (number == worker.renewalNumber) {
                    ports
                        .meter()
                        .timed("renewal", () -> handleResult(worker, renewal, result, sentMillis));
                  }
                });
  }

  /** Renews a worker without waiting for the renewal in flight, whose result is ignored. */
  void renewAgain(Worker worker) {
    worker.renewing = false;
    renew(worker);
  }

  private void handleResult(Worker worker, Renewal renewal, RenewResult result, long sentMillis) {
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
    if (result.view().get().incarnation() == renewal.incarnation()) {
      worker.deliveredAcknowledgement =
          Math.max(worker.deliveredAcknowledgement, renewal.acknowledged());
    }
    final boolean first = !worker.hasAnswered;
    reportHandler.handle(worker, result.view().get(), sentMillis);
    if (!isCurrent(worker)) {
      return;
    }
    if (first || regained) {
      cell.requestPass();
    }
    boolean useful = worker.renewImmediately || first || settled(worker);
    if (useful && cell.leads()) {
      renew(worker);
    } else {
      // The worker would answer immediately, in a busy loop.
      ports.timers().after(SHORT_RENEWAL_INTERVAL, () -> renew(worker));
    }
  }

  /** Returns whether all reported ends are durable and the outcome of all starts is known. */
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
      worker.replaced = true;
      handleReplacement(worker);
    }
    if (worker.unregistered()
        && now() - worker.unregisteredSinceMillis > DROP_AFTER.toMillis()
        && worker.requestedListing.isEmpty()
        && worker.listing.isEmpty()
        && worker.runs.isEmpty()) {
      ports.log().event("worker-dropped", worker.id());
      fleet.remove(worker);
      return;
    }
    ports.timers().after(SHORT_RENEWAL_INTERVAL, () -> renew(worker));
  }

  /** Releases the runs of a worker at whose address another incarnation answers. */
  private void handleReplacement(Worker worker) {
    if (worker.runs.isEmpty()) {
      return;
    }
    ports.log().event("worker-replaced", worker.id(), "runs", worker.runs.size());
    for (Run run : List.copyOf(worker.runs.values())) {
      cell.finishRun(run, "worker-replaced");
    }
  }

  /** Releases the runs of a worker whose lease has certainly expired. */
  void releaseExpiredRuns(Worker worker) {
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

  /** Returns whether a run has probably ended before the lease of its worker did. */
  private static boolean probablyEnded(Run run, Worker worker) {
    long minRunMillis = (long) (run.expectedMillis * MIN_RUN_TIME_SHARE);
    return run.task != null
        && !run.stopRequested
        && run.expectedMillis > 0
        && run.phase == Run.Phase.RUNNING
        && run.startedAtMillis + minRunMillis < worker.leaseExpiryMillis();
  }

  /** Stops the stalled runs of a worker, and quarantines the worker. */
  void stopStalledRuns(Worker worker) {
    if (worker.mayHaveMoreEnded) {
      // A run that is not listed may have ended.
      return;
    }
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
        launcher.stop(run, "no progress");
      }
    }
  }

  private long now() {
    return ports.clock().millis();
  }
}
