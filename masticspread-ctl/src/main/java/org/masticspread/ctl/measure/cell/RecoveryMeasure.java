package org.masticspread.ctl.measure.cell;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.masticspread.ctl.measure.MeasureReport;
import org.masticspread.model.id.ShardId;
import org.masticspread.model.result.ResultCode;
import org.masticspread.model.work.JobPhase;
import org.masticspread.model.work.JobSpec;
import org.masticspread.model.work.JobView;
import org.masticspread.model.work.RequestSpec;
import org.masticspread.node.trial.TrialCell;
import org.masticspread.node.trial.TrialFault;
import org.masticspread.node.trial.TrialWork;
import org.masticspread.platform.standin.TaskRun;
import org.masticspread.state.ownership.ShardMap;
import org.masticspread.state.shard.AttemptNumbers;

/**
 * A measure of how a cell recovers from the loss of a VM while jobs wait and requests arrive.
 *
 * <p>Example: {@code RecoveryMeasure.of(1).report()}.
 */
public final class RecoveryMeasure {
  private static final List<Integer> VMS = List.of(3, 9);
  private static final List<TrialFault> FAULTS =
      List.of(
          TrialFault.VM_KILLED,
          TrialFault.VM_PAUSED,
          TrialFault.VM_RESTARTED,
          TrialFault.VM_STOPPED);
  private static final int WORK_SHARDS = 32;
  private static final int FAULTY_VM = 2;
  private static final int TASKS_PER_JOB = 40;
  private static final int JOBS_PER_VM = 8;
  private static final Duration TASK_TIME = Duration.ofSeconds(2);
  private static final Duration TIME_BEFORE_FAULT = Duration.ofSeconds(5);
  private static final Duration PROBE_DURATION = Duration.ofSeconds(15);
  private static final Duration PROBE_INTERVAL = Duration.ofMillis(500);
  private static final Duration SETTLING_TIME = Duration.ofSeconds(90);

  private final long seed;

  private RecoveryMeasure(long seed) {
    this.seed = seed;
  }

  /**
   * Returns a measure.
   *
   * @param seed the seed of the run
   * @return the measure
   */
  public static RecoveryMeasure of(long seed) {
    return new RecoveryMeasure(seed);
  }

  /**
   * Injects each fault into cells of several sizes.
   *
   * @return the rows
   */
  public MeasureReport<RecoveryRow> report() {
    List<RecoveryRow> rows = new ArrayList<>();
    for (int vms : VMS) {
      FAULTS.forEach(fault -> rows.add(row(vms, fault)));
    }
    return new MeasureReport<>("recovery", seed, rows);
  }

  /**
   * Injects one fault.
   *
   * @param vms the number of VMs
   * @param fault the fault
   * @return the row
   */
  RecoveryRow row(int vms, TrialFault fault) {
    TrialCell cell = TrialCell.of(vms, seed).warmUp();
    for (int i = 0; i < vms * JOBS_PER_VM; i++) {
      cell.submit(1, TrialWork.batch("job-" + i, TASKS_PER_JOB, true, TASK_TIME));
    }
    cell.advance(TIME_BEFORE_FAULT);
    Instant faultTime = cell.now();
    fault.strike(cell, FAULTY_VM);
    Map<ShardId, List<String>> probes = probe(cell);
    cell.advance(SETTLING_TIME);
    List<String> violations = cell.violations();
    return new RecoveryRow(
        vms,
        fault.name().toLowerCase(Locale.ROOT).replace('_', '-'),
        timeToServe(cell, probes, faultTime),
        timeToFirstRestart(cell, faultTime),
        lost(cell) + count(violations, "NOTHING_ACCEPTED_LOST"),
        count(violations, "RAN_AT_MOST_ONCE") + count(violations, "NEVER_TWO_PLACES"));
  }

  /** Repeatedly sends a request that must run at most once to each work shard. */
  private static Map<ShardId, List<String>> probe(TrialCell cell) {
    Map<ShardId, List<String>> probes = new TreeMap<>();
    ShardMap map = new ShardMap(WORK_SHARDS);
    int ids = 0;
    for (Instant until = cell.now().plus(PROBE_DURATION); cell.now().isBefore(until); ) {
      Map<ShardId, RequestSpec> round = new TreeMap<>();
      while (round.size() < WORK_SHARDS) {
        RequestSpec probe = TrialWork.order("probe-" + ++ids, cell.now());
        round.put(map.workShard(probe.key()), probe);
      }
      round.forEach(
          (shard, probe) ->
              probes.computeIfAbsent(shard, s -> new ArrayList<>()).add(cell.send(1, probe)));
      cell.advance(PROBE_INTERVAL);
    }
    return probes;
  }

  private static long timeToServe(
      TrialCell cell, Map<ShardId, List<String>> probes, Instant faultTime) {
    long latest = 0;
    for (List<String> sends : probes.values()) {
      long first =
          sends.stream()
              .filter(s -> cell.codeOf(s).filter(ResultCode.OK::equals).isPresent())
              .mapToLong(s -> Duration.between(faultTime, cell.answeredAt(s).get()).toMillis())
              .min()
              .orElse(-1);
      if (first < 0) {
        return -1;
      }
      latest = Math.max(latest, first);
    }
    return latest;
  }

  private static long timeToFirstRestart(TrialCell cell, Instant faultTime) {
    ShardMap map = new ShardMap(WORK_SHARDS);
    Map<ShardId, Long> epochs = new HashMap<>();
    List<TaskRun> runs = cell.platform().workers().runs();
    for (TaskRun run : runs) {
      if (!run.started().isAfter(faultTime)) {
        epochs.merge(shardOf(map, run), epochOf(run), Math::max);
      }
    }
    return runs.stream()
        .filter(r -> r.started().isAfter(faultTime))
        .filter(r -> epochOf(r) > epochs.getOrDefault(shardOf(map, r), Long.MAX_VALUE))
        .mapToLong(r -> Duration.between(faultTime, r.started()).toMillis())
        .min()
        .orElse(-1);
  }

  private static ShardId shardOf(ShardMap map, TaskRun run) {
    return map.workShard(run.task().task().job());
  }

  private static long epochOf(TaskRun run) {
    return AttemptNumbers.epochOf(run.task().attempt());
  }

  private static int lost(TrialCell cell) {
    int lost = 0;
    for (JobSpec job : cell.acceptedJobs()) {
      JobPhase phase = cell.read(job).map(JobView::phase).orElse(null);
      lost += phase == JobPhase.SUCCEEDED ? 0 : 1;
    }
    return lost;
  }

  private static int count(List<String> violations, String promise) {
    return (int) violations.stream().filter(b -> b.contains(promise)).count();
  }
}
