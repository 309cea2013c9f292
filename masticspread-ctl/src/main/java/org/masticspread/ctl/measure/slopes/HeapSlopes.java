package org.masticspread.ctl.measure.slopes;

import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.id.RackId;
import org.masticspread.model.id.ShardId;
import org.masticspread.model.id.TaskKey;
import org.masticspread.model.id.WorkerId;
import org.masticspread.model.peer.PlaceTask;
import org.masticspread.model.platform.TaskAttempt;
import org.masticspread.model.platform.WorkerReport;
import org.masticspread.model.result.ResultCode;
import org.masticspread.model.work.JobSpec;
import org.masticspread.model.work.RequestSpec;
import org.masticspread.model.work.TaskPhase;
import org.masticspread.policy.estimate.Estimates;
import org.masticspread.policy.jobs.JobQueue;
import org.masticspread.policy.placement.RackLedger;
import org.masticspread.policy.request.RequestScheduler;
import org.masticspread.state.shard.JournalRecord;
import org.masticspread.state.shard.Retention;
import org.masticspread.state.shard.WorkShardState;

/** Measures of the heap that control state uses. */
final class HeapSlopes {
  private static final InstantSource CLOCK = InstantSource.fixed(Samples.NOW);
  private static final int WORKERS = 200;
  private static final long FINGERPRINT = 42;

  /** The state of an attempt at the owner of a work shard, with the same fields as in the node. */
  private record ActiveAttempt(
      int attempt,
      RackId rack,
      WorkerId worker,
      boolean settled,
      Instant mayStartUntil,
      int missing) {}

  private HeapSlopes() {}

  static List<SlopeRow> rows(int scale, long seed) {
    return List.of(
        row("heap per running task, rack owner", HeapSlopes::rackOwnerState, 40, scale),
        row("heap per running task, shard owner", HeapSlopes::shardOwnerState, 40, scale),
        row("heap per waiting task", n -> queueState(n, seed), 40, scale),
        row("heap per worker", HeapSlopes::ledger, 10, scale),
        row("heap per team", n -> teamState(n, seed), 10, scale),
        row("heap per remembered request", HeapSlopes::requestState, 40, scale),
        row("heap per kept job of 8 tasks", HeapSlopes::endedJobState, 10, scale));
  }

  private interface StateFactory {
    Object create(int size);
  }

  private static SlopeRow row(String slope, StateFactory factory, int base, int scale) {
    return Cost.row(
        slope,
        "bytes/item",
        false,
        size -> Meters.heapBytes(() -> factory.create(size)),
        base * scale,
        2 * base * scale,
        4 * base * scale);
  }

  static RackLedger ledger(int workers) {
    RackLedger ledger = RackLedger.forRack(Samples.RACK, CLOCK);
    ledger.configure(Samples.configuration(1, 0, workers));
    for (int i = 0; i < workers; i++) {
      ledger.adopt(new WorkerReport(Samples.worker(i), 1, List.of()));
    }
    return ledger;
  }

  private static Object rackOwnerState(int tasks) {
    RackLedger ledger = ledger(WORKERS);
    for (int i = 0; i < tasks; i++) {
      start(ledger, Samples.placeTask(i));
    }
    return ledger;
  }

  /** Places a task, for which there must be room, and confirms its start. */
  static void start(RackLedger ledger, PlaceTask task) {
    if (ledger.place(task).isEmpty()) {
      throw new IllegalStateException("slopes: there is no room for " + task.task());
    }
    ledger.started(new TaskAttempt(task.task(), task.attempt()));
  }

  private static Object shardOwnerState(int tasks) {
    WorkShardState state = acceptedJobs(tasks / Samples.TASKS_PER_JOB);
    Map<TaskKey, ActiveAttempt> attempts = new HashMap<>();
    for (int i = 0; i < tasks; i++) {
      TaskKey task = Samples.task(i);
      WorkerId worker = Samples.worker(i % WORKERS);
      state.recordActiveAttempt(task, 1, TaskPhase.RUNNING, worker);
      attempts.put(
          task, new ActiveAttempt(1, Samples.RACK, worker, true, Samples.NOW.plusMillis(i), 0));
    }
    return List.of(state, attempts);
  }

  static WorkShardState acceptedJobs(int jobs) {
    WorkShardState state = new WorkShardState(ShardId.work(0), Retention.DEFAULT);
    for (int i = 0; i < jobs; i++) {
      state.apply(new JournalRecord.JobAccepted(Samples.job(i), Samples.NOW.plusMillis(i)));
    }
    return state;
  }

  private static Object queueState(int tasks, long seed) {
    JobQueue queue = new JobQueue(new Estimates(), CLOCK, seed);
    queue.configure(Samples.configuration(Samples.TEAMS, 0, WORKERS));
    for (int job = 0; job < tasks / Samples.TASKS_PER_JOB; job++) {
      JobSpec spec = Samples.job(job);
      for (int i = 0; i < Samples.TASKS_PER_JOB; i++) {
        queue.add(spec, Samples.NOW, i, 1);
      }
    }
    return queue;
  }

  private static Object teamState(int teams, long seed) {
    Configuration configuration = Samples.configuration(teams, 30, 0);
    RequestScheduler scheduler = RequestScheduler.create(CLOCK).withSeed(seed);
    scheduler.configure(configuration, configuration.endpoints());
    JobQueue queue = new JobQueue(new Estimates(), CLOCK, seed).configure(configuration);
    return List.of(configuration, scheduler, queue);
  }

  private static Object requestState(int count) {
    WorkShardState state = new WorkShardState(ShardId.work(0), Retention.DEFAULT);
    for (int i = 0; i < count; i++) {
      RequestSpec request = Samples.request(i, false, Samples.BODY_BYTES);
      Instant at = Samples.NOW.plusMillis(i);
      state.apply(new JournalRecord.RequestStarted(request.key(), FINGERPRINT + i, at));
      state.apply(
          new JournalRecord.RequestEnded(
              request.key(), ResultCode.OK, Samples.body(Samples.BODY_BYTES), "", at));
    }
    return state;
  }

  private static Object endedJobState(int jobs) {
    WorkShardState state = acceptedJobs(jobs);
    for (int i = 0; i < jobs * Samples.TASKS_PER_JOB; i++) {
      state.apply(StoreSlopes.ended(i));
    }
    return state;
  }
}
