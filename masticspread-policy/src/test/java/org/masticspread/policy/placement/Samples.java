package org.masticspread.policy.placement;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.stream.IntStream;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.config.EndpointState;
import org.masticspread.model.config.TeamConfig;
import org.masticspread.model.config.WorkerConfig;
import org.masticspread.model.id.ClassKey;
import org.masticspread.model.id.DataCentreId;
import org.masticspread.model.id.JobId;
import org.masticspread.model.id.JobKey;
import org.masticspread.model.id.PoolId;
import org.masticspread.model.id.RackId;
import org.masticspread.model.id.ShardId;
import org.masticspread.model.id.TaskKey;
import org.masticspread.model.id.TeamId;
import org.masticspread.model.id.WorkClassId;
import org.masticspread.model.id.WorkerId;
import org.masticspread.model.peer.PlaceTask;
import org.masticspread.model.platform.TaskAttempt;
import org.masticspread.model.platform.WorkerReport;
import org.masticspread.model.platform.WorkerTask;
import org.masticspread.model.platform.WorkerTaskPhase;
import org.masticspread.model.resource.ResourceVector;
import org.masticspread.model.work.JobKind;
import org.masticspread.model.work.JobSpec;
import org.masticspread.model.work.Payload;
import org.masticspread.model.work.Urgency;

/** Test data shared by the tests of this module. */
public final class Samples {
  public static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
  public static final PoolId POOL = PoolId.of("pool");
  public static final WorkClassId CLASS = WorkClassId.of("class");

  /** A clock that is set manually. */
  public static final class Clock implements InstantSource {
    public Instant now = START;

    @Override
    public Instant instant() {
      return now;
    }

    /** Advances the clock and returns the new time. */
    public Instant plus(Duration duration) {
      now = now.plus(duration);
      return now;
    }
  }

  private Samples() {}

  /** Returns a size without accelerators. */
  public static ResourceVector size(int cores, int gib) {
    return new ResourceVector(cores * 1000L, (long) gib << 30, 0);
  }

  /** Returns the key of a job. */
  public static JobKey job(String team, String job) {
    return new JobKey(TeamId.of(team), JobId.of(job));
  }

  /** Returns an active worker. */
  public static WorkerConfig worker(int number, String rack, ResourceVector capacity) {
    return new WorkerConfig(
        WorkerId.of("w" + number),
        POOL,
        RackId.of(rack),
        DataCentreId.of("dc-" + rack.charAt(rack.length() - 1)),
        "127.0.0.1:1",
        capacity,
        EndpointState.ACTIVE);
  }

  /** Returns active workers of one rack. */
  public static List<WorkerConfig> workers(int count, String rack, ResourceVector capacity) {
    return IntStream.range(0, count).mapToObj(i -> worker(i, rack, capacity)).toList();
  }

  /** Returns a ledger whose workers have all reported that they are empty. */
  public static RackLedger ledger(InstantSource clock, List<WorkerConfig> workers) {
    RackLedger ledger =
        RackLedger.forRack(workers.get(0).rack(), clock)
            .withRestartable(c -> c.workClass().value().equals("restartable"))
            .configure(workers);
    workers.forEach(w -> ledger.adopt(report(w.name())));
    return ledger;
  }

  /** Returns a report of a worker. */
  public static WorkerReport report(WorkerId worker, WorkerTask... tasks) {
    return new WorkerReport(worker, 1, List.of(tasks));
  }

  /** Returns the first task of a job. */
  public static PlaceTask task(
      JobKey job, int attempt, Urgency urgency, JobKind kind, ResourceVector size) {
    return task(job, CLASS.value(), attempt, urgency, kind, size);
  }

  /** Returns the first task of a job. */
  public static PlaceTask task(
      JobKey job,
      String workClass,
      int attempt,
      Urgency urgency,
      JobKind kind,
      ResourceVector size) {
    return new PlaceTask(
        new TaskKey(job, 0),
        attempt,
        ShardId.work(0),
        new ClassKey(job.team(), WorkClassId.of(workClass)),
        urgency,
        kind,
        size,
        START.plusSeconds(5),
        Payload.EMPTY);
  }

  /** Returns the only task of a batch job. */
  public static PlaceTask batch(String job, Urgency urgency, ResourceVector size) {
    return task(job("team", job), 1, urgency, JobKind.BATCH, size);
  }

  /** Returns the attempt that a request to place a task refers to. */
  public static TaskAttempt attempt(PlaceTask task) {
    return new TaskAttempt(task.task(), task.attempt());
  }

  /** Returns the report of a running task. */
  public static WorkerTask running(
      PlaceTask task, ResourceVector usage, Duration ranFor, boolean throttled) {
    return workerTask(task, WorkerTaskPhase.RUNNING, usage, ranFor, throttled);
  }

  /** Returns the report of a task. */
  public static WorkerTask workerTask(
      PlaceTask task,
      WorkerTaskPhase phase,
      ResourceVector usage,
      Duration ranFor,
      boolean throttled) {
    return new WorkerTask(
        task.task(),
        task.attempt(),
        task.workShard(),
        phase,
        task.size(),
        usage,
        ranFor,
        throttled,
        false);
  }

  /** Returns a job. */
  public static JobSpec spec(
      JobKey key, JobKind kind, Urgency urgency, int tasks, ResourceVector size, Instant deadline) {
    return new JobSpec(
        key,
        CLASS,
        kind,
        urgency,
        tasks,
        size,
        Duration.ofMinutes(1),
        deadline,
        true,
        3,
        Payload.EMPTY);
  }

  /** Returns a team. */
  public static TeamConfig team(String name, int weight, double floor, ResourceVector quota) {
    return new TeamConfig(TeamId.of(name), POOL, weight, floor, quota, false);
  }

  /** Returns a configuration. */
  public static Configuration configuration(List<TeamConfig> teams, List<WorkerConfig> workers) {
    return new Configuration(1, List.of(), teams, List.of(), List.of(), workers);
  }
}
