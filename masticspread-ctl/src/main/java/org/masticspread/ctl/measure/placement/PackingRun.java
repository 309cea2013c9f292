package org.masticspread.ctl.measure.placement;

import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import org.masticspread.model.config.WorkerConfig;
import org.masticspread.model.id.ClassKey;
import org.masticspread.model.id.JobId;
import org.masticspread.model.id.JobKey;
import org.masticspread.model.id.RackId;
import org.masticspread.model.id.ShardId;
import org.masticspread.model.id.TaskKey;
import org.masticspread.model.id.TeamId;
import org.masticspread.model.peer.PlaceTask;
import org.masticspread.model.platform.TaskAttempt;
import org.masticspread.model.platform.WorkerReport;
import org.masticspread.model.resource.ResourceVector;
import org.masticspread.model.work.JobKind;
import org.masticspread.model.work.Payload;
import org.masticspread.model.work.Urgency;
import org.masticspread.policy.placement.PlacementStrategy;
import org.masticspread.policy.placement.RackLedger;

/** A run that fills a ledger of all workers of a cell until it refuses a task. */
final class PackingRun {
  /** The pattern in which tasks arrive and end. */
  enum Scenario {
    /** Tasks arrive and none end. */
    FILL,
    /**
     * Tasks arrive until four fifths are allocated; then tasks end and arrive at the same rate for
     * a while; then as in FILL.
     */
    CHURN
  }

  static final ClassKey CLASS = ClassKey.of("team", "batch");
  private static final double GANG_PROBE_SHARE = 0.8;
  private static final int CHURN_ROUNDS = 10;
  private static final JobKey GANG = new JobKey(TeamId.of("team"), JobId.of("gang"));
  private static final Instant START = Instant.EPOCH;

  private final Cell cell;
  private final RackLedger ledger;
  private final ResourceVector capacity;
  private final SplittableRandom random;
  private final List<PlaceTask> running = new ArrayList<>();
  private ResourceVector allocated = ResourceVector.ZERO;
  private int placed;

  PackingRun(Cell cell, PlacementStrategy strategy, long seed) {
    this.cell = cell;
    this.ledger = ledger(cell.workers(), strategy);
    this.capacity = cell.capacity();
    this.random = new SplittableRandom(seed);
  }

  /** Returns a ledger of workers that have reported that they are empty. */
  static RackLedger ledger(List<WorkerConfig> workers, PlacementStrategy strategy) {
    RackLedger ledger =
        RackLedger.forRack(RackId.of("all"), InstantSource.fixed(START))
            .withStrategy(strategy)
            .configure(workers);
    workers.forEach(w -> ledger.adopt(new WorkerReport(w.name(), 1, List.of())));
    return ledger;
  }

  /** Returns a task of a batch job. */
  static PlaceTask task(int number, ResourceVector size) {
    return new PlaceTask(
        new TaskKey(new JobKey(CLASS.team(), JobId.of("job" + number)), 0),
        1,
        ShardId.work(0),
        CLASS,
        Urgency.NORMAL,
        JobKind.BATCH,
        size,
        START.plusSeconds(1),
        Payload.EMPTY);
  }

  /** Runs a scenario and returns its row. */
  PackingRow run(String policy, Scenario scenario) {
    while (allocatedShare() < GANG_PROBE_SHARE && arrive()) {
      continue;
    }
    if (scenario == Scenario.CHURN) {
      churn();
    }
    int gang = ledger.reserve(GANG, 1, cell.gangTask(), Integer.MAX_VALUE, Instant.MAX);
    ledger.release(GANG, 1);
    while (arrive()) {
      continue;
    }
    String name = scenario.name().toLowerCase(Locale.ROOT);
    return new PackingRow(policy, cell.deployment(), name, allocatedShare(), gang);
  }

  private void churn() {
    int rounds = CHURN_ROUNDS * running.size();
    for (int i = 0; i < rounds; i++) {
      end(random.nextInt(running.size()));
      while (allocatedShare() < GANG_PROBE_SHARE && arrive()) {
        continue;
      }
    }
  }

  private boolean arrive() {
    PlaceTask task = task(placed, cell.draw(random));
    if (ledger.place(task).isEmpty()) {
      return false;
    }
    placed++;
    running.add(task);
    allocated = allocated.plus(task.size());
    return true;
  }

  private void end(int position) {
    PlaceTask last = running.remove(running.size() - 1);
    PlaceTask ended = position == running.size() ? last : running.set(position, last);
    ledger.ended(new TaskAttempt(ended.task(), ended.attempt()));
    allocated = allocated.minus(ended.size());
  }

  /** Returns the allocated share of the resource that is allocated most. */
  private double allocatedShare() {
    double cores = ratio(allocated.millicores(), capacity.millicores());
    double memory = ratio(allocated.memoryBytes(), capacity.memoryBytes());
    return Math.max(
        Math.max(cores, memory), ratio(allocated.accelerators(), capacity.accelerators()));
  }

  private static double ratio(long amount, long whole) {
    return whole == 0 ? 0 : (double) amount / whole;
  }
}
