package org.masticspread.ctl.measure.slopes;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Locale;
import java.util.function.IntFunction;
import java.util.stream.IntStream;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.config.EndpointConfig;
import org.masticspread.model.config.EndpointState;
import org.masticspread.model.config.PoolConfig;
import org.masticspread.model.config.TeamConfig;
import org.masticspread.model.config.WorkClassConfig;
import org.masticspread.model.config.WorkerConfig;
import org.masticspread.model.id.ClassKey;
import org.masticspread.model.id.DataCentreId;
import org.masticspread.model.id.EndpointId;
import org.masticspread.model.id.JobId;
import org.masticspread.model.id.JobKey;
import org.masticspread.model.id.PoolId;
import org.masticspread.model.id.RackId;
import org.masticspread.model.id.RequestId;
import org.masticspread.model.id.RequestKey;
import org.masticspread.model.id.ShardId;
import org.masticspread.model.id.TaskKey;
import org.masticspread.model.id.TeamId;
import org.masticspread.model.id.VmId;
import org.masticspread.model.id.VmIncarnation;
import org.masticspread.model.id.WorkClassId;
import org.masticspread.model.id.WorkerId;
import org.masticspread.model.peer.Digest;
import org.masticspread.model.peer.HomeDigest;
import org.masticspread.model.peer.PlaceTask;
import org.masticspread.model.peer.RackDigest;
import org.masticspread.model.peer.ShardEpoch;
import org.masticspread.model.peer.TeamUsage;
import org.masticspread.model.platform.WorkerTask;
import org.masticspread.model.platform.WorkerTaskPhase;
import org.masticspread.model.resource.ResourceVector;
import org.masticspread.model.work.JobKind;
import org.masticspread.model.work.JobSpec;
import org.masticspread.model.work.Payload;
import org.masticspread.model.work.RequestSpec;
import org.masticspread.model.work.Urgency;

/** Sample objects of typical sizes, derived from a number. */
final class Samples {
  static final int TEAMS = 34;
  static final int TASKS_PER_JOB = 8;
  static final int BODY_BYTES = 200;
  static final int SHARDS = 32;
  static final Instant NOW = Instant.parse("2026-01-01T00:00:00.123Z");
  static final PoolId POOL = PoolId.of("main");
  static final RackId RACK = rack(0);
  static final ResourceVector TASK = new ResourceVector(500, 1L << 30, 0);
  private static final ResourceVector WORKER = new ResourceVector(64_000, 256L << 30, 8);
  private static final WorkClassId CLASS = WorkClassId.of("batch");

  private Samples() {}

  static RackId rack(int number) {
    return RackId.of(String.format(Locale.ROOT, "r%02d", number));
  }

  static TeamId team(int number) {
    return TeamId.of("team-" + number);
  }

  static WorkerId worker(int number) {
    return WorkerId.of(String.format(Locale.ROOT, "worker-%03d", number));
  }

  static <T> List<T> list(int count, IntFunction<T> factory) {
    return IntStream.range(0, count).mapToObj(factory).toList();
  }

  static Payload body(int bytes) {
    return new Payload(new byte[bytes]);
  }

  static JobSpec job(int number) {
    return new JobSpec(
        new JobKey(team(number % TEAMS), JobId.of("nightly-report-" + number)),
        CLASS,
        JobKind.BATCH,
        Urgency.NORMAL,
        TASKS_PER_JOB,
        TASK,
        Duration.ofMinutes(10),
        NOW.plus(Duration.ofHours(4)),
        false,
        3,
        body(BODY_BYTES));
  }

  /** Returns a task key; each job has {@link #TASKS_PER_JOB} tasks. */
  static TaskKey task(int number) {
    return new TaskKey(job(number / TASKS_PER_JOB).key(), number % TASKS_PER_JOB);
  }

  static PlaceTask placeTask(int number) {
    TaskKey task = task(number);
    return new PlaceTask(
        task,
        1,
        ShardId.work(number % SHARDS),
        new ClassKey(task.job().team(), CLASS),
        Urgency.NORMAL,
        JobKind.BATCH,
        TASK,
        NOW.plusSeconds(2),
        body(BODY_BYTES));
  }

  static WorkerTask workerTask(int number) {
    return new WorkerTask(
        task(number),
        1,
        ShardId.work(number % SHARDS),
        WorkerTaskPhase.RUNNING,
        TASK,
        TASK,
        Duration.ofMillis(61_234),
        false,
        false);
  }

  static RequestSpec request(int number, boolean idempotent, int bodyBytes) {
    return new RequestSpec(
        new RequestKey(
            team(number % TEAMS),
            RequestId.of(String.format(Locale.ROOT, "01hzy6q8k3m9n2p4r5%08d", number))),
        CLASS,
        Urgency.NORMAL,
        idempotent,
        NOW.plusSeconds(4),
        body(bodyBytes));
  }

  static WorkerConfig workerConfig(int number, RackId rack) {
    return new WorkerConfig(
        worker(number),
        POOL,
        rack,
        DataCentreId.of("dc-1"),
        "10.0.0.1:7000",
        WORKER,
        EndpointState.ACTIVE);
  }

  /** Returns a configuration with teams, one work class per team, endpoints and workers. */
  static Configuration configuration(int teams, int endpoints, int workers) {
    return new Configuration(
        1,
        List.of(new PoolConfig(POOL, List.of(DataCentreId.of("dc-1")), false)),
        list(teams, i -> new TeamConfig(team(i), POOL, 1, 0.01, WORKER, false)),
        list(teams, Samples::workClass),
        list(endpoints, Samples::endpoint),
        list(workers, i -> workerConfig(i, RACK)));
  }

  private static WorkClassConfig workClass(int team) {
    return new WorkClassConfig(
        team(team),
        CLASS,
        Urgency.NORMAL,
        true,
        0.01,
        Duration.ofSeconds(4),
        0,
        200,
        1 << 20,
        false);
  }

  private static EndpointConfig endpoint(int number) {
    return new EndpointConfig(
        EndpointId.of("executor-" + number),
        POOL,
        DataCentreId.of("dc-1"),
        "10.0.1.1:7000",
        64,
        64,
        EndpointState.ACTIVE);
  }

  /**
   * Returns a digest with owned racks, their usage by teams, known rack epochs and owned shards.
   */
  static Digest digest(int racks, int teams, int rackEpochs, int shards) {
    return new Digest(
        new VmIncarnation(VmId.of("vm-1"), 7),
        123,
        false,
        true,
        new HomeDigest(640, 320, 12, 210.5),
        list(racks, i -> rackDigest(i, teams)),
        list(shards, i -> new ShardEpoch(ShardId.work(i), 12)),
        list(rackEpochs, i -> new ShardEpoch(ShardId.rack(rack(i)), 12)),
        List.of());
  }

  private static RackDigest rackDigest(int number, int teams) {
    List<TeamUsage> usage = list(teams, i -> new TeamUsage(team(i), TASK));
    return new RackDigest(rack(number), 12, WORKER, WORKER, WORKER, usage);
  }
}
