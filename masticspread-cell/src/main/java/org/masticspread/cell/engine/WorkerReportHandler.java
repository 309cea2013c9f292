package org.masticspread.cell.engine;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.masticspread.cell.policy.Placement;
import org.masticspread.cell.port.WorkerView;
import org.masticspread.cell.port.WorkerView.EndKind;
import org.masticspread.cell.port.WorkerView.Ended;
import org.masticspread.cell.port.WorkerView.Running;
import org.masticspread.model.cell.JobState;
import org.masticspread.model.resource.ResourceVector;

/** Handles the reports of workers about their runs. Confined to the cell's thread. */
final class WorkerReportHandler {
  private final CellPorts ports;
  private final JobStore jobs;
  private final Fleet fleet;
  private final Cell cell;
  private final Launcher launcher;

  WorkerReportHandler(CellPorts ports, JobStore jobs, Fleet fleet, Cell cell, Launcher launcher) {
    this.ports = ports;
    this.jobs = jobs;
    this.fleet = fleet;
    this.cell = cell;
    this.launcher = launcher;
  }

  /** Handles the answer to a renewal that was sent at the given time. */
  void handle(Worker worker, WorkerView view, long sentMillis) {
    if (!cell.incarnations().answered(worker, view)) {
      return;
    }
    worker.updateClock(view.clockMillis(), now());
    worker.lastAnswerMillis = now();
    worker.lastRenewalSentMillis = sentMillis;
    updateMoreEnded(worker, view);
    worker.hasReportedAllRuns |= !view.mayHaveMoreEnded();
    handleEnds(worker, view);
    handleRunning(worker, view, sentMillis);
  }

  private void updateMoreEnded(Worker worker, WorkerView view) {
    if (worker.mayHaveMoreEnded == view.mayHaveMoreEnded()) {
      return;
    }
    worker.mayHaveMoreEnded = view.mayHaveMoreEnded();
    ports
        .log()
        .event(
            "worker-ends-unlisted",
            worker.id(),
            "unlisted",
            worker.mayHaveMoreEnded,
            "listed",
            view.ended().size(),
            "acknowledged",
            worker.acknowledgedEnd,
            "runs",
            worker.runs.size());
  }

  private void handleEnds(Worker worker, WorkerView view) {
    List<Ended> newEnds = new ArrayList<>();
    for (Ended end : view.ended()) {
      if (end.number() > worker.seenEnd) {
        newEnds.add(end);
        worker.seenEnd = end.number();
      }
    }
    if (newEnds.isEmpty()) {
      return;
    }
    for (Ended end : newEnds) {
      handleEnd(worker, end);
    }
    long last = worker.seenEnd;
    long incarnation = worker.incarnation;
    ports
        .journal()
        .whenDurable(
            () -> {
              if (worker.incarnation == incarnation) {
                worker.acknowledgedEnd = Math.max(worker.acknowledgedEnd, last);
                cell.renew(worker);
              }
            });
  }

  private void handleEnd(Worker worker, Ended end) {
    Run run = worker.runs.get(Worker.key(end.task(), end.run()));
    Optional<Task> found = jobs.task(end.task());
    ports
        .log()
        .event(
            "task-ended",
            end.task(),
            "run",
            end.run(),
            "how",
            end.kind(),
            "worker",
            worker.id(),
            "number",
            end.number());
    ports.metrics().counter("ends." + end.kind().name().toLowerCase(Locale.ROOT)).inc();
    found.ifPresent(task -> applyEnd(worker, task, run, end));
    if (run != null) {
      cell.finishRun(run, "ended");
    }
  }

  private void applyEnd(Worker worker, Task task, Run run, Ended end) {
    Step step = task.step;
    Job job = step.job;
    task.lastRun = Math.max(task.lastRun, end.run());
    if (job.state.ended()) {
      return;
    }
    job.begin();
    if (!end.checkpoint().isEmpty()) {
      storeCheckpoint(task, end.checkpoint());
    }
    if (end.kind() == EndKind.SUCCEEDED && !step.spec.lasting()) {
      recordSuccess(worker, task, run, end.run());
    } else if (end.kind() == EndKind.FAILED) {
      recordFailure(worker, task, end);
    }
    jobs.save(job);
  }

  /** Stores a checkpoint; one from a member of a gang applies to all members. */
  private static void storeCheckpoint(Task task, String checkpoint) {
    if (!task.step.spec.gang()) {
      task.checkpoint = checkpoint;
      return;
    }
    task.step.tasks.forEach(member -> member.checkpoint = checkpoint);
  }

  private void recordSuccess(Worker worker, Task task, Run run, long number) {
    Step step = task.step;
    fleet.quarantine.recordSuccess(worker.id());
    if (run != null && task.checkpoint.isEmpty()) {
      double crossRackFactor =
          Placement.slowdown(worker, step.spec, ports.limits().crossRackSlowdown())
              * worker.speed();
      double estimate = step.spec.estimate().toMillis() * crossRackFactor;
      String queue = step.job.order.queue();
      fleet.speeds.recordRun(queue, worker.id(), estimate, now() - run.startedAtMillis);
    }
    List<Task> done = step.spec.gang() ? step.tasks : List.of(task);
    for (Task member : done) {
      step.markSucceeded(member);
      if (member.run() != null && member.run().number != number) {
        launcher.stop(member.run(), "succeeded in another run");
      }
    }
    if (step.job.allDone()) {
      ports
          .metrics()
          .histogram(MetricRegistry.name("job.age.ms", step.job.order.queue()))
          .update(now() - step.job.acceptedMillis);
      ports.log().event("job-succeeded", step.job.id(), "ageMs", now() - step.job.acceptedMillis);
      jobs.end(step.job, JobState.SUCCEEDED);
    }
  }

  private void recordFailure(Worker worker, Task task, Ended end) {
    Step step = task.step;
    if (step.spec.lasting()) {
      // Lasting tasks may fail at any time and never succeed, so they say nothing about the worker.
      return;
    }
    if (fleet.quarantine.recordFailure(worker.id(), step.job.id(), now())) {
      ports.log().event("worker-aside", worker.id(), "reason", "tasks of several jobs failed");
    }
    if (!task.failedRuns.add(end.run())) {
      ports.log().event("task-failure-known", task.name, "run", end.run());
      return;
    }
    if (step.spec.gang()) {
      step.failedGangRuns.add(end.run());
    }
    int failures = Math.max(task.failedRuns.size(), step.failedGangRuns.size());
    // Without the rule of its queue, it is not known how often a task may fail.
    int maxFailures =
        cell.queue(step.job).map(queue -> queue.mostFailures()).orElse(Integer.MAX_VALUE);
    if (failures >= maxFailures) {
      ports.log().event("job-failed", step.job.id(), "task", task.name, "failures", failures);
      cell.endEarly(step.job, JobState.FAILED);
    }
  }

  private void handleRunning(Worker worker, WorkerView view, long sentMillis) {
    Set<String> listed = new HashSet<>();
    for (Running row : view.running()) {
      String key = Worker.key(row.task(), row.run());
      listed.add(key);
      Run run = worker.runs.get(key);
      if (run == null) {
        run = adopt(worker, row);
      }
      updateRun(run, row);
    }
    if (view.mayHaveMoreEnded()) {
      // A run in neither list may have succeeded.
      return;
    }
    for (Run run : List.copyOf(worker.runs.values())) {
      if (!listed.contains(Worker.key(run.taskName, run.number))) {
        handleUnlisted(run, view, sentMillis);
      }
    }
  }

  private void updateRun(Run run, Running row) {
    run.generation = run.worker.generation;
    run.listedIncarnation = run.worker.incarnation;
    if (run.phase != Run.Phase.RUNNING) {
      run.enterPhase(Run.Phase.RUNNING, now());
    }
    if (row.percent() != run.percent) {
      run.percent = row.percent();
      run.lastProgressMillis = now();
    }
    if (run.task != null) {
      run.task.step.job.begin();
    }
    if (run.task != null && !row.checkpoint().isEmpty()) {
      storeCheckpoint(run.task, row.checkpoint());
    }
    if (run.stopRequested) {
      launcher.stop(run, "still listed");
    }
  }

  /** Adopts a run that an earlier leader started, or stops it if it is not needed. */
  private Run adopt(Worker worker, Running row) {
    Optional<Task> found = jobs.task(row.task());
    boolean needed =
        found
            .map(task -> task.waiting() && !task.step.job.state.ended() && task.step.job.durable)
            .orElse(false);
    // The demand of a run whose job has ended is not stored: it counts as the whole capacity of the
    // worker until it is over.
    ResourceVector booked = found.map(task -> task.step.spec.booked()).orElse(worker.capacity());
    Run run = new Run(row.task(), row.run(), worker, booked, needed ? found.get() : null);
    run.startedAtMillis = now();
    run.enterPhase(Run.Phase.RUNNING, now());
    worker.book(run);
    found.ifPresent(task -> task.lastRun = Math.max(task.lastRun, row.run()));
    if (needed) {
      Task task = found.get();
      task.run(run);
      run.adopted = true;
      run.expectedMillis =
          cell.queue(task.step.job).map(q -> cell.expectedMillis(q, task.step.spec)).orElse(0L);
      ports.log().event("task-adopted", row.task(), "run", row.run(), "worker", worker.id());
    } else {
      launcher.stop(run, found.isPresent() ? "not needed" : "unknown task");
    }
    return run;
  }

  /**
   * Handles a run that a worker does not list, though it lists all runs. The run is over if its
   * start or stop was confirmed before the list was requested, or if the worker would by now refuse
   * its start as too late.
   */
  private void handleUnlisted(Run run, WorkerView view, long sentMillis) {
    if (run.generation < run.worker.generation) {
      cell.finishRun(run, "worker-restarted");
      return;
    }
    if (run.stopConfirmedMillis >= 0) {
      if (run.stopConfirmedMillis < sentMillis) {
        cell.finishRun(run, "stopped");
      }
      return;
    }
    if (run.phaseSinceMillis >= sentMillis || run.phase == Run.Phase.STARTING) {
      return;
    }
    if (run.phase == Run.Phase.RUNNING) {
      cell.finishRun(run, "vanished");
      return;
    }
    if (view.clockMillis() > run.startDeadlineMillis + Cell.LEASE_EXPIRY_MARGIN.toMillis()) {
      cell.finishRun(run, "start too late");
      return;
    }
    launcher.stop(run, "start has no answer");
  }

  private long now() {
    return ports.clock().millis();
  }
}
