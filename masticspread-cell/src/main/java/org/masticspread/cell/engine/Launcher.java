package org.masticspread.cell.engine;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.EnumSet;
import java.util.Locale;
import java.util.Set;
import org.masticspread.cell.policy.DelayEstimator;
import org.masticspread.cell.port.WorkerPort.OrderResult;
import org.masticspread.cell.port.WorkerPort.Outcome;
import org.masticspread.cell.port.WorkerPort.Start;

/**
 * Sends start and stop orders to workers, and handles the results. Confined to the cell's thread.
 */
final class Launcher {
  /** Delay before a stop is sent again; a worker that is reached answers within a few ms. */
  private static final Duration STOP_RETRY_INTERVAL = Duration.ofMillis(250);

  /** Refusals with a cause on the worker, so that another worker may accept the start. */
  private static final Set<Outcome> WORKER_SPECIFIC_REFUSALS =
      EnumSet.of(Outcome.UNHEALTHY, Outcome.NOT_SENT, Outcome.NO_ROOM, Outcome.OTHER_LIFE);

  private final CellPorts ports;
  private final Fleet fleet;
  private final Cell cell;
  private final DelayEstimator startLatency = new DelayEstimator();

  Launcher(CellPorts ports, Fleet fleet, Cell cell) {
    this.ports = ports;
    this.fleet = fleet;
    this.cell = cell;
  }

  /** Returns the recent mean latency of start orders. */
  Duration startLatency() {
    return startLatency.estimate(now());
  }

  /** Books capacity for a run of a task. */
  Run book(Task task, Worker worker, long number) {
    Run run = new Run(task.name, number, worker, task.step.spec.booked(), task);
    task.run(run);
    task.lastRun = Math.max(task.lastRun, number);
    worker.book(run);
    run.startedAtMillis = now();
    run.enterPhase(Run.Phase.STARTING, now());
    return run;
  }

  /** Sends the start of a booked run. */
  void start(Run run, String ticket) {
    Worker worker = run.worker;
    long leaseEnd = worker.leaseEnd(now(), cell.leaseMillis());
    run.startDeadlineMillis = leaseEnd;
    run.generation = worker.generation;
    worker.leaseUntilMillis = Math.max(worker.leaseUntilMillis, leaseEnd);
    Task task = run.task;
    Job job = task.step.job;
    Start order =
        new Start(
            task.name,
            run.number,
            job.order.payload(),
            leaseEnd,
            worker.token(ports.term().epoch()),
            task.checkpoint,
            ticket,
            worker.incarnation);
    ports
        .log()
        .event(
            "task-start",
            task.name,
            "run",
            run.number,
            "worker",
            worker.id(),
            "config",
            cell.configVersion(),
            "freeMillicores",
            worker.free().millicores(),
            "heardMsAgo",
            now() - worker.lastAnswerMillis,
            "resumes",
            !task.checkpoint.isEmpty());
    long sentMillis = now();
    long knownClockMillis = worker.clockMillis;
    // The run takes the generation of an answer that lists it, also before its start is answered.
    long generation = worker.generation;
    var unused =
        ports
            .workers()
            .start(worker.entry, order)
            .subscribe(
                result -> {
                  if (result.outcome() == Outcome.DONE) {
                    startLatency.record(Duration.ofMillis(now() - sentMillis), now());
                  }
                  if (generation == worker.generation && !cell.closed()) {
                    cell.incarnations().startAnswered(worker, result, knownClockMillis);
                  }
                  handleStartResult(run, result, generation);
                });
  }

  private void handleStartResult(Run run, OrderResult result, long generation) {
    if (cell.closed() || run.worker.runs.get(Worker.key(run.taskName, run.number)) != run) {
      return;
    }
    count("starts", result.outcome());
    switch (result.outcome()) {
      case DONE -> {
        if (run.phase != Run.Phase.RUNNING) {
          run.enterPhase(Run.Phase.RUNNING, now());
        }
        begin(run.task.step.job, run.startedAtMillis);
      }
      case UNKNOWN -> {
        ports.log().event("task-start-unknown", run.taskName, "run", run.number);
        run.enterPhase(Run.Phase.UNSURE, now());
        run.worker.renewImmediately = true;
        cell.renew(run.worker);
      }
      case FENCED -> {
        if (generation == run.worker.generation) {
          cell.handleFenced(run.worker);
        } else {
          handleRefusal(run, result.outcome());
        }
      }
      default -> handleRefusal(run, result.outcome());
    }
  }

  private void begin(Job job, long startedAtMillis) {
    if (job.begin()) {
      ports
          .metrics()
          .histogram(MetricRegistry.name("job.wait.ms", job.order.queue()))
          .update(startedAtMillis - job.acceptedMillis);
    }
  }

  private void handleRefusal(Run run, Outcome outcome) {
    ports
        .log()
        .event(
            "task-start-refused",
            run.taskName,
            "run",
            run.number,
            "worker",
            run.worker.id(),
            "reason",
            outcome);
    if (outcome == Outcome.UNHEALTHY) {
      fleet.quarantine.recordFailure(run.worker.id(), run.task.step.job.id(), now());
    }
    if (outcome == Outcome.NO_TICKET) {
      run.task.step.approvals.remove(run.worker.id());
    }
    if (WORKER_SPECIFIC_REFUSALS.contains(outcome)) {
      run.worker.lastRefusalMillis = now();
      run.worker.renewImmediately = true;
      cell.renew(run.worker);
    }
    cell.finishRun(run, "refused");
  }

  /** Stops a run; the order is repeated until the worker confirms it or the run is over. */
  void stop(Run run, String reason) {
    if (!run.stopRequested) {
      run.stopRequested = true;
      ports
          .log()
          .event(
              "task-stop",
              run.taskName,
              "run",
              run.number,
              "reason",
              reason,
              "worker",
              run.worker.id());
    }
    // While this VM cannot prove that it leads, the next report of the run leads here again.
    if (run.stopInFlight || run.stopConfirmedMillis >= 0 || !cell.leads()) {
      return;
    }
    run.stopInFlight = true;
    long generation = run.worker.generation;
    long token = run.worker.token(ports.term().epoch());
    var unused =
        ports
            .workers()
            .stop(run.worker.entry, run.taskName, run.number, token)
            .subscribe(result -> handleStopResult(run, result, generation));
  }

  private void handleStopResult(Run run, OrderResult result, long generation) {
    run.stopInFlight = false;
    if (cell.closed()) {
      return;
    }
    count("stops", result.outcome());
    if (result.outcome() == Outcome.DONE) {
      run.stopConfirmedMillis = now();
      run.worker.renewImmediately = true;
      cell.renew(run.worker);
      return;
    }
    if (result.outcome() == Outcome.FENCED && generation == run.worker.generation) {
      cell.handleFenced(run.worker);
      return;
    }
    if (run.worker.runs.containsKey(Worker.key(run.taskName, run.number))) {
      ports.timers().after(STOP_RETRY_INTERVAL, () -> stop(run, "again"));
    }
  }

  private void count(String kind, Outcome outcome) {
    ports
        .metrics()
        .counter(MetricRegistry.name(kind, outcome.name().toLowerCase(Locale.ROOT)))
        .inc();
  }

  private long now() {
    return ports.clock().millis();
  }
}
