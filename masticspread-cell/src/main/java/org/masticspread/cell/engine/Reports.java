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

/** Takes in what workers tell about their runs. Confined to the cell. */
final class Reports {
  private final CellPorts ports;
  private final JobBook jobs;
  private final Fleet fleet;
  private final Cell cell;
  private final Launcher launcher;

  Reports(CellPorts ports, JobBook jobs, Fleet fleet, Cell cell, Launcher launcher) {
    this.ports = ports;
    this.jobs = jobs;
    this.fleet = fleet;
    this.cell = cell;
    this.launcher = launcher;
  }

  /** Takes in an answer to a renewal that was sent at a time. */
  void take(Worker worker, WorkerView view, long sentMillis) {
    if (view.born() != worker.life && worker.life != 0 && view.born() < worker.life) {
      ports.log().event("worker-answer-old", worker.id(), "life", view.born());
      return;
    }
    if (view.born() != worker.life) {
      newLife(worker, view.born());
    }
    if (!worker.heard) {
      worker.heard = true;
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
              ports.term().epoch());
    }
    worker.readClock(view.clockMillis(), now());
    worker.heardMillis = now();
    worker.renewedMillis = sentMillis;
    takeEnds(worker, view);
    takeRunning(worker, view, sentMillis);
  }

  private void newLife(Worker worker, long born) {
    if (worker.life != 0) {
      ports
          .log()
          .event(
              "worker-new-life",
              worker.id(),
              "life",
              born,
              "before",
              worker.life,
              "runs",
              worker.runs.size());
      fleet.speeds.forget(worker.id());
      fleet.troubles.succeeded(worker.id());
      for (Run run : List.copyOf(worker.runs.values())) {
        cell.over(run, "worker-restarted");
      }
      worker.seenEnd = 0;
      worker.acknowledgedEnd = 0;
      worker.leaseUntilMillis = 0;
    }
    worker.life = born;
  }

  private void takeEnds(Worker worker, WorkerView view) {
    List<Ended> fresh = new ArrayList<>();
    for (Ended end : view.ended()) {
      if (end.number() > worker.seenEnd) {
        fresh.add(end);
        worker.seenEnd = end.number();
      }
    }
    if (fresh.isEmpty()) {
      return;
    }
    for (Ended end : fresh) {
      takeEnd(worker, end);
    }
    long last = worker.seenEnd;
    long life = worker.life;
    ports
        .journal()
        .whenDurable(
            () -> {
              if (worker.life == life) {
                worker.acknowledgedEnd = Math.max(worker.acknowledgedEnd, last);
                cell.renew(worker);
              }
            });
  }

  private void takeEnd(Worker worker, Ended end) {
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
            end.how(),
            "worker",
            worker.id(),
            "number",
            end.number());
    ports.metrics().counter("ends." + end.how().name().toLowerCase(Locale.ROOT)).inc();
    found.ifPresent(task -> apply(worker, task, run, end));
    if (run != null) {
      cell.over(run, "ended");
    }
  }

  private void apply(Worker worker, Task task, Run run, Ended end) {
    Step step = task.step;
    Job job = step.job;
    task.lastRun = Math.max(task.lastRun, end.run());
    if (job.state.ended()) {
      return;
    }
    if (!end.checkpoint().isEmpty()) {
      keepCheckpoint(task, end.checkpoint());
    }
    if (end.how() == EndKind.SUCCEEDED && !step.spec.lasting()) {
      succeeded(worker, task, run, end.run());
    } else if (end.how() == EndKind.FAILED) {
      failed(worker, task, end);
    }
    jobs.save(job);
  }

  /** The checkpoint of one member of a gang serves all members. */
  private static void keepCheckpoint(Task task, String checkpoint) {
    if (!task.step.spec.gang()) {
      task.checkpoint = checkpoint;
      return;
    }
    task.step.tasks.forEach(member -> member.checkpoint = checkpoint);
  }

  private void succeeded(Worker worker, Task task, Run run, long number) {
    Step step = task.step;
    fleet.troubles.succeeded(worker.id());
    if (run != null && task.checkpoint.isEmpty()) {
      double farFactor =
          Placement.slowdown(worker, step.spec, ports.limits().crossRackSlowdown())
              * worker.speed();
      double estimate = step.spec.estimate().toMillis() * farFactor;
      String queue = step.job.order.queue();
      fleet.speeds.ran(queue, worker.id(), estimate, now() - run.startedAtMillis);
    }
    List<Task> done = step.spec.gang() ? step.tasks : List.of(task);
    for (Task member : done) {
      step.succeed(member);
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

  private void failed(Worker worker, Task task, Ended end) {
    Step step = task.step;
    if (step.spec.lasting()) {
      // Lasting tasks fail at any time and never succeed: their ends say nothing of the worker.
      return;
    }
    if (fleet.troubles.failed(worker.id(), step.job.id(), now())) {
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
    int most = cell.queue(step.job).map(queue -> queue.mostFailures()).orElse(1);
    if (failures >= most) {
      ports.log().event("job-failed", step.job.id(), "task", task.name, "failures", failures);
      cell.endEarly(step.job, JobState.FAILED);
    }
  }

  private void takeRunning(Worker worker, WorkerView view, long sentMillis) {
    Set<String> listed = new HashSet<>();
    for (Running row : view.running()) {
      String key = Worker.key(row.task(), row.run());
      listed.add(key);
      Run run = worker.runs.get(key);
      if (run == null) {
        run = adopt(worker, row);
      }
      observe(run, row);
    }
    for (Run run : List.copyOf(worker.runs.values())) {
      if (!listed.contains(Worker.key(run.taskName, run.number))) {
        unlisted(run, view, sentMillis);
      }
    }
  }

  private void observe(Run run, Running row) {
    if (run.phase != Run.Phase.RUNNING) {
      run.enter(Run.Phase.RUNNING, now());
    }
    if (row.percent() != run.percent) {
      run.percent = row.percent();
      run.progressAtMillis = now();
    }
    if (run.task != null && !row.checkpoint().isEmpty()) {
      keepCheckpoint(run.task, row.checkpoint());
    }
    if (run.stopWanted) {
      launcher.stop(run, "still listed");
    }
  }

  /** Takes over a run that an earlier leader started, or stops one that nobody needs. */
  private Run adopt(Worker worker, Running row) {
    Optional<Task> found = jobs.task(row.task());
    boolean needed =
        found
            .map(task -> task.waiting() && !task.step.job.state.ended() && task.step.job.durable)
            .orElse(false);
    // What a run of a job that has ended needs is not kept: it counts as the whole worker until it
    // is over.
    ResourceVector booked = found.map(task -> task.step.spec.booked()).orElse(worker.capacity());
    Run run = new Run(row.task(), row.run(), worker, booked, needed ? found.get() : null);
    run.startedAtMillis = now();
    run.enter(Run.Phase.RUNNING, now());
    worker.book(run);
    found.ifPresent(task -> task.lastRun = Math.max(task.lastRun, row.run()));
    if (needed) {
      Task task = found.get();
      task.run(run);
      run.adopted = true;
      run.expectedMillis =
          cell.queue(task.step.job).map(q -> cell.expectedMillis(q, task.step.spec)).orElse(0L);
      if (task.step.job.state == JobState.QUEUED) {
        task.step.job.state = JobState.RUNNING;
        task.step.job.shown = JobState.RUNNING;
      }
      ports.log().event("task-adopted", row.task(), "run", row.run(), "worker", worker.id());
    } else {
      launcher.stop(run, found.isPresent() ? "not needed" : "unknown task");
    }
    return run;
  }

  /**
   * A run that is not listed is over, if it was confirmed before the list was asked for, or if its
   * start would be refused as too late by then.
   */
  private void unlisted(Run run, WorkerView view, long sentMillis) {
    if (run.stopConfirmedMillis >= 0) {
      if (run.stopConfirmedMillis < sentMillis) {
        cell.over(run, "stopped");
      }
      return;
    }
    if (run.sinceMillis >= sentMillis || run.phase == Run.Phase.STARTING) {
      return;
    }
    if (run.phase == Run.Phase.RUNNING) {
      cell.over(run, "vanished");
      return;
    }
    if (view.clockMillis() > run.startUntilMillis + Cell.LAPSE_MARGIN.toMillis()) {
      cell.over(run, "start too late");
      return;
    }
    launcher.stop(run, "start has no answer");
  }

  private long now() {
    return ports.clock().millis();
  }
}
