package org.masticspread.node.job;

import com.google.common.flogger.FluentLogger;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.config.WorkerConfig;
import org.masticspread.model.id.JobKey;
import org.masticspread.model.id.RackId;
import org.masticspread.model.id.TaskKey;
import org.masticspread.model.platform.TaskAttempt;
import org.masticspread.model.platform.WorkerTask;
import org.masticspread.model.work.JobKind;
import org.masticspread.model.work.JobPhase;
import org.masticspread.model.work.JobView;
import org.masticspread.model.work.TaskPhase;
import org.masticspread.model.work.TaskView;
import org.masticspread.state.shard.AttemptNumbers;
import org.masticspread.state.shard.JournalRecord;

/**
 * Takes over the jobs of former owners: learns from the racks what runs, then lets the rest wait
 * again. Also finds tasks that are lost, and asks again for stops that were not obeyed.
 */
final class JobRecovery {
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  private final JobContext context;
  private final TaskEnds ends;
  private final TaskStops stops;
  private final RackSeals seals;

  JobRecovery(JobContext context, TaskEnds ends, TaskStops stops) {
    this.context = context;
    this.ends = ends;
    this.stops = stops;
    this.seals = new RackSeals(context, this::lostTask);
  }

  /** Seals racks and goes on with each shard. Recovery waits for a configuration. */
  void round(Collection<JobShard> shards, Configuration configuration) {
    seals.round(shards);
    shards.forEach(this::stopUnwanted);
    if (configuration.revision() == 0) {
      return;
    }
    Set<RackId> racks =
        configuration.workers().stream().map(WorkerConfig::rack).collect(Collectors.toSet());
    shards.stream().filter(s -> !s.isReleasing()).forEach(s -> advance(s, racks));
  }

  private void advance(JobShard shard, Set<RackId> racks) {
    Instant now = context.clock().instant();
    JobShard.Recovery before = shard.recovery();
    JobShard.Recovery after = shard.advance(racks, now, now.plus(context.times().settle()));
    if (after == JobShard.Recovery.READY && before != after) {
      resume(shard);
    }
  }

  /**
   * Lets the tasks of former owners wait that do not run, and ends those whose fate is unknown.
   * Jobs that this owner accepted itself wait already.
   */
  private void resume(JobShard shard) {
    shard.state().unresolvedTasks().stream()
        .filter(t -> shard.isInherited(t.job()))
        .forEach(t -> endUnresolved(shard, t));
    for (JobView job : shard.state().activeJobs()) {
      JobKey key = job.spec().key();
      boolean waits = shard.isInherited(key) && !shard.state().isCancelled(key);
      if (waits && job.phase() != JobPhase.PARKED) {
        resume(shard, job);
      }
    }
    LOG.atInfo().log("jobs: %s has recovered", shard.id());
  }

  /** A gang of which a part runs and a part waits is stopped, so that it starts again whole. */
  private void resume(JobShard shard, JobView job) {
    JobKey key = job.spec().key();
    boolean partly =
        job.spec().kind() == JobKind.GANG
            && !shard.placementsOf(key).isEmpty()
            && job.tasks().stream().anyMatch(t -> t.phase() == TaskPhase.WAITING);
    if (partly) {
      shard.startGangRestart(key);
      return;
    }
    context.enqueue(shard, job);
  }

  /** Asks again for the stop of tasks that must not go on; an earlier order may be lost. */
  private void stopUnwanted(JobShard shard) {
    if (!context.authority().mayAct()) {
      return;
    }
    Map<TaskKey, Placement> unwanted = new HashMap<>();
    shard
        .placements()
        .forEach(
            (task, placement) -> {
              JobKey job = task.job();
              if (shard.state().isCancelled(job) || shard.isGangRestarting(job)) {
                unwanted.put(task, placement);
              }
            });
    stops.stop(shard, unwanted);
  }

  private void endUnresolved(JobShard shard, TaskKey task) {
    int attempt = shard.state().task(task).map(TaskView::attempt).orElse(AttemptNumbers.NONE);
    context.append(
        shard,
        new JournalRecord.TaskEnded(
            task,
            attempt,
            TaskPhase.UNKNOWN,
            null,
            "its start was marked and no rack knows it",
            context.clock().instant()));
  }

  private void lostTask(JobShard shard, Map.Entry<TaskKey, Placement> entry) {
    TaskAttempt attempt = new TaskAttempt(entry.getKey(), entry.getValue().attempt());
    WorkerTask lapsed = WorkerTask.lapsed(attempt, shard.id());
    ends.end(shard, lapsed, entry.getValue().worker())
        .exceptionally(
            thrown -> {
              LOG.atWarning().log("jobs: %s: %s", entry.getKey(), thrown.getMessage());
              return null;
            });
  }
}
