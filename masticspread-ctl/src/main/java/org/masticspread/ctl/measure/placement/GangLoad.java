package org.masticspread.ctl.measure.placement;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.masticspread.model.config.WorkerConfig;
import org.masticspread.model.id.JobId;
import org.masticspread.model.id.JobKey;
import org.masticspread.model.id.RackId;
import org.masticspread.model.peer.RackDigest;
import org.masticspread.policy.gang.GangCommand;
import org.masticspread.policy.gang.GangPlanner;
import org.masticspread.policy.gang.GangTimes;
import org.masticspread.policy.placement.BestFit;
import org.masticspread.policy.placement.RackLedger;

/** A load of gangs that reserve room one after another on all racks of the cell of 550 workers. */
final class GangLoad {
  private static final int TASKS = 64;
  private static final int WARM_UP_ROUNDS = 500;
  private static final int TIMED_ROUNDS = 2_000;
  private static final Instant NOW = Instant.EPOCH;

  private final long seed;
  private final Cell cell = Cell.later();
  private final Map<RackId, RackLedger> ledgers = new TreeMap<>();
  private final List<RackDigest> digests = new ArrayList<>();

  GangLoad(long seed) {
    this.seed = seed;
    Map<RackId, List<WorkerConfig>> racks =
        cell.workers().stream().collect(Collectors.groupingBy(WorkerConfig::rack));
    racks.forEach(
        (rack, workers) -> {
          RackLedger ledger = PackingRun.ledger(workers, new BestFit());
          ledgers.put(rack, ledger);
          RackDigest ledgerDigest = ledger.digest(1);
          digests.add(
              new RackDigest(
                  rack,
                  1,
                  ledgerDigest.free(),
                  ledgerDigest.largestHole(),
                  ledgerDigest.capacity(),
                  ledgerDigest.usage()));
        });
  }

  /** Plans gangs until they start and returns the time of a complete plan with its reservations. */
  DecisionRow row() {
    DecisionTimer timer = new DecisionTimer("gang-plan");
    for (int i = -WARM_UP_ROUNDS; i < TIMED_ROUNDS; i++) {
      if (i == 0) {
        timer.reset();
      }
      JobKey job = new JobKey(PackingRun.CLASS.team(), JobId.of("gang" + (i + WARM_UP_ROUNDS)));
      timer.time(() -> plan(job));
      ledgers.values().forEach(ledger -> ledger.release(job, Integer.MAX_VALUE));
    }
    return timer.row();
  }

  private void plan(JobKey job) {
    GangPlanner planner = new GangPlanner(TASKS, cell.gangTask(), NOW, GangTimes.DEFAULT, seed);
    Deque<GangCommand> commands = new ArrayDeque<>(planner.begin(NOW, digests));
    while (!commands.isEmpty()) {
      if (commands.poll() instanceof GangCommand.Reserve reserve) {
        int reserved = reserve(job, reserve);
        commands.addAll(planner.reserved(reserve.rack(), reserve.attempt(), reserved, NOW));
      }
    }
    if (planner.phase() != GangPlanner.Phase.STARTED) {
      throw new IllegalStateException("decisions: a gang did not start");
    }
  }

  private int reserve(JobKey job, GangCommand.Reserve reserve) {
    return ledgers
        .get(reserve.rack())
        .reserve(
            job, reserve.attempt(), cell.gangTask(), reserve.wanted(), NOW.plus(reserve.ttl()));
  }
}
