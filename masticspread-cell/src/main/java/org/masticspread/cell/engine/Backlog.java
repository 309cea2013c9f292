package org.masticspread.cell.engine;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToLongFunction;
import org.masticspread.cell.policy.Admission;
import org.masticspread.model.cell.JobOrder;
import org.masticspread.model.cell.QueueRule;
import org.masticspread.model.cell.StepSpec;

/** Computes the waiting and running work on which the admission of a job is decided. */
final class Backlog {
  /** How long a snapshot is used; jobs accepted meanwhile are added to it. */
  private static final Duration CACHE_TTL = Duration.ofMillis(50);

  /** Number of workers assumed when the duration of a job's advice call is estimated. */
  private static final int ASSUMED_WORKERS_PER_CALL = 8;

  private final CellPorts ports;
  private final JobStore jobs;
  private final Fleet fleet;
  private final Cell cell;
  private final Map<String, LoadSnapshot> snapshots = new HashMap<>();

  Backlog(CellPorts ports, JobStore jobs, Fleet fleet, Cell cell) {
    this.ports = ports;
    this.jobs = jobs;
    this.fleet = fleet;
    this.cell = cell;
  }

  /** Returns the facts for the admission of a job. */
  Admission.Facts facts(JobOrder order, QueueRule queue) {
    long path = Job.criticalPathMillis(order, spec -> cell.expectedMillis(queue, spec));
    long width = 0;
    for (StepSpec step : order.steps()) {
      width = Math.max(width, step.tasks() * step.booked().millicores());
    }
    long advice =
        queue.advice().map(rule -> rule.callTime(ASSUMED_WORKERS_PER_CALL).toMillis()).orElse(0L);
    long objective = (long) (queue.stretch() * path) + queue.target().toMillis();
    LoadSnapshot snapshot = snapshot(queue);
    return new Admission.Facts(
        snapshot.capacityMillicores,
        snapshot.freeMillicores,
        snapshot.waitingMillicores,
        (long) snapshot.waitingCoreMillis,
        (long) snapshot.runningCoreMillis,
        width,
        Duration.ofMillis(path + advice),
        Duration.ofMillis(objective));
  }

  /** Adds an accepted job to the cached snapshots. */
  void addAccepted(JobOrder order, QueueRule queue) {
    for (LoadSnapshot snapshot : snapshots.values()) {
      if (snapshot.endpoint.equals(queue.endpoint()) && queue.priority() <= snapshot.priority) {
        for (StepSpec step : order.steps()) {
          long millicores = step.booked().millicores() * step.tasks();
          snapshot.waitingCoreMillis += millicores / 1000.0 * cell.expectedMillis(queue, step);
          snapshot.waitingMillicores += step.after().isEmpty() ? millicores : 0;
        }
      }
    }
  }

  private LoadSnapshot snapshot(QueueRule queue) {
    String key = queue.priority() + " " + queue.endpoint();
    LoadSnapshot cached = snapshots.get(key);
    if (cached != null && ports.clock().millis() - cached.atMillis < CACHE_TTL.toMillis()) {
      return cached;
    }
    LoadSnapshot snapshot =
        new LoadSnapshot(queue.endpoint(), queue.priority(), ports.clock().millis());
    snapshot.capacityMillicores = fleet.capacityMillicores(queue.endpoint());
    snapshot.freeMillicores = fleet.freeMillicores(queue.endpoint());
    for (Job job : jobs.open()) {
      Optional<QueueRule> other = cell.queue(job);
      if (other.isPresent() && other.get().endpoint().equals(queue.endpoint())) {
        boolean counted = other.get().priority() <= queue.priority();
        snapshot.add(job, spec -> cell.expectedMillis(other.get(), spec), counted);
      }
    }
    snapshots.put(key, snapshot);
    return snapshot;
  }

  /** The load of an endpoint at one time; waiting work is counted up to one priority. */
  private static final class LoadSnapshot {
    private final String endpoint;
    private final int priority;
    private final long atMillis;
    private long capacityMillicores;
    private long freeMillicores;
    private long waitingMillicores;
    private double waitingCoreMillis;
    private double runningCoreMillis;

    LoadSnapshot(String endpoint, int priority, long atMillis) {
      this.endpoint = endpoint;
      this.priority = priority;
      this.atMillis = atMillis;
    }

    void add(Job job, ToLongFunction<StepSpec> expectedMillis, boolean counted) {
      for (List<Step> steps : job.occurrences.values()) {
        for (Step step : steps) {
          long millicores = step.spec.booked().millicores();
          double coreMillisPerTask = millicores / 1000.0 * expectedMillis.applyAsLong(step.spec);
          if (step.hasRuns()) {
            for (Task task : step.tasks) {
              runningCoreMillis +=
                  task.run() == null ? 0 : coreMillisPerTask * (100 - task.run().percent) / 100;
            }
          }
          if (counted) {
            waitingCoreMillis += coreMillisPerTask * step.waiting();
            waitingMillicores += job.ready(step) ? millicores * step.waiting() : 0;
          }
        }
      }
    }
  }
}
