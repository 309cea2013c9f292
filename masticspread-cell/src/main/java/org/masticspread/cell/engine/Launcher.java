package org.masticspread.cell.engine;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.EnumSet;
import java.util.Locale;
import java.util.Set;
import org.masticspread.cell.policy.OwnDelay;
import org.masticspread.cell.port.WorkerPort.OrderResult;
import org.masticspread.cell.port.WorkerPort.Outcome;
import org.masticspread.cell.port.WorkerPort.Start;
import org.masticspread.model.cell.JobState;

/** Sends starts and stops to workers and settles what became of them. Confined to the cell. */
final class Launcher {
  /** Between two attempts to stop a run: a worker answers within a few ms when it is reached. */
  private static final Duration STOP_RETRY = Duration.ofMillis(250);

  /** Refusals that another worker would not give. */
  private static final Set<Outcome> OF_THE_WORKER =
      EnumSet.of(Outcome.UNHEALTHY, Outcome.NOT_SENT, Outcome.NO_ROOM, Outcome.OTHER_LIFE);

  private final CellPorts ports;
  private final Fleet fleet;
  private final Cell cell;
  private final OwnDelay delay = new OwnDelay();

  Launcher(CellPorts ports, Fleet fleet, Cell cell) {
    this.ports = ports;
    this.fleet = fleet;
    this.cell = cell;
  }

  /** Returns how far this VM is behind, by the answers to its starts. */
  Duration startLatency() {
    return delay.at(now());
  }

  /** Books a run of a task. */
  Run book(Task task, Worker worker, long number) {
    Run run = new Run(task.name, number, worker, task.step.spec.booked(), task);
    task.run(run);
    task.lastRun = Math.max(task.lastRun, number);
    worker.book(run);
    run.startedAtMillis = now();
    run.enter(Run.Phase.STARTING, now());
    return run;
  }

  /** Sends the start of a booked run. */
  void start(Run run, String ticket) {
    Task task = run.task;
    Worker worker = run.worker;
    long leaseEnd = worker.leaseEnd(now(), cell.leaseMillis());
    run.startUntilMillis = leaseEnd;
    worker.leaseUntilMillis = Math.max(worker.leaseUntilMillis, leaseEnd);
    Job job = task.step.job;
    if (job.state == JobState.QUEUED) {
      ports
          .metrics()
          .histogram(MetricRegistry.name("job.wait.ms", job.order.queue()))
          .update(now() - job.acceptedMillis);
      job.state = JobState.RUNNING;
      job.shown = JobState.RUNNING;
    }
    Start order =
        new Start(
            task.name,
            run.number,
            job.order.payload(),
            leaseEnd,
            ports.term().epoch(),
            task.checkpoint,
            ticket);
    ports
        .log()
        .event(
            "task-start",
            task.name,
            "run",
            run.number,
            "worker",
            worker.id(),
            "freeMillicores",
            worker.free().millicores(),
            "heardMsAgo",
            now() - worker.heardMillis,
            "resumes",
            !task.checkpoint.isEmpty());
    long sent = now();
    var unused =
        ports
            .workers()
            .start(worker.entry, order)
            .subscribe(
                result -> {
                  if (result.outcome() == Outcome.DONE) {
                    delay.noted(Duration.ofMillis(now() - sent), now());
                  }
                  settle(run, result);
                });
  }

  private void settle(Run run, OrderResult result) {
    if (cell.closed() || run.worker.runs.get(Worker.key(run.taskName, run.number)) != run) {
      return;
    }
    count("starts", result.outcome());
    switch (result.outcome()) {
      case DONE -> {
        if (run.phase != Run.Phase.RUNNING) {
          run.enter(Run.Phase.RUNNING, now());
        }
      }
      case UNKNOWN -> {
        ports.log().event("task-start-unknown", run.taskName, "run", run.number);
        run.enter(Run.Phase.UNSURE, now());
        run.worker.renewSoon = true;
        cell.renew(run.worker);
      }
      case FENCED -> cell.fenced(run.worker);
      default -> refused(run, result.outcome());
    }
  }

  private void refused(Run run, Outcome outcome) {
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
      fleet.troubles.failed(run.worker.id(), run.task.step.job.id(), now());
    }
    if (outcome == Outcome.NO_TICKET) {
      run.task.step.approvals.remove(run.worker.id());
    }
    if (OF_THE_WORKER.contains(outcome)) {
      run.worker.refusedMillis = now();
      run.worker.renewSoon = true;
      cell.renew(run.worker);
    }
    cell.over(run, "refused");
  }

  /** Stops a run; sent again until the worker confirms it or the run is over. */
  void stop(Run run, String reason) {
    if (!run.stopWanted) {
      run.stopWanted = true;
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
    if (run.stopInFlight || run.stopConfirmedMillis >= 0) {
      return;
    }
    run.stopInFlight = true;
    var unused =
        ports
            .workers()
            .stop(run.worker.entry, run.taskName, run.number, ports.term().epoch())
            .subscribe(result -> stopped(run, result));
  }

  private void stopped(Run run, OrderResult result) {
    run.stopInFlight = false;
    if (cell.closed()) {
      return;
    }
    count("stops", result.outcome());
    if (result.outcome() == Outcome.DONE) {
      run.stopConfirmedMillis = now();
      run.worker.renewSoon = true;
      cell.renew(run.worker);
      return;
    }
    if (result.outcome() == Outcome.FENCED) {
      cell.fenced(run.worker);
      return;
    }
    if (run.worker.runs.containsKey(Worker.key(run.taskName, run.number))) {
      ports.timers().after(STOP_RETRY, () -> stop(run, "again"));
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
