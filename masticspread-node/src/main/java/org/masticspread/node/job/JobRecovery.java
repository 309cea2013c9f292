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
 * Recovers the jobs of former owners: asks the racks which tasks run, then queues the others again.
 * Also finds lost tasks and repeats stop orders for tasks that still run.
 */
final class JobRecovery {
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  private final JobContext context;
  private final TaskEndHandler endHandler;
  private final TaskStopper stopper;
  private final RackSealer sealer;

  JobRecovery(JobContext context, TaskEndHandler endHandler, TaskStopper stopper) {
    this.context = context;
    this.endHandler = endHandler;
    this.stopper = stopper;
    this.sealer = new RackSealer(context, this::lostTask);
  }

  /**
   * Seals racks and advances the recovery of each shard. Shards recover only once a configuration
   * is in force.
   */
  void runRound(Collection<JobShard> shards, Configuration configuration) {
    sealer.runRound(shards);
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
    JobShard.Recovery after = shard.advance(racks, now, now.plus(context.times().settlingPeriod()));
    if (after == JobShard.Recovery.READY && before != after) {
      resume(shard);
    }
  }

  /**
   * Queues the inherited tasks that do not run and ends those whose outcome is unknown. Jobs that
   * this owner accepted itself are queued already.
   */
  private void resume(JobShard shard) {
    shard.state().unresolvedTasks().stream()
        .filter(t -> shard.isInherited(t.job()))
        .forEach(t -> endUnresolved(shard, t));
    for (JobView job : shard.state().activeJobs()) {
      JobKey key = job.spec().key();
      boolean resumable = shard.isInherited(key) && !shard.state().isCancelled(key);
      if (resumable && job.phase() != JobPhase.PARKED) {
        resume(shard, job);
      }
    }
    LOG.atInfo().log("jobs: recovery of %s is complete", shard.id());
  }

  /**
   * Queues the waiting tasks of a job. A gang of which only some tasks run is stopped instead, so
   * that all its tasks start together again.
   */
  private void resume(JobShard shard, JobView job) {
    JobKey key = job.spec().key();
    boolean runsPartly =
        job.spec().kind() == JobKind.GANG
            && !shard.placementsOf(key).isEmpty()
            && job.tasks().stream().anyMatch(t -> t.phase() == TaskPhase.WAITING);
    if (runsPartly) {
      shard.startGangRestart(key);
      return;
    }
    context.enqueue(shard, job);
  }

  /**
   * Repeats the stop orders for tasks that must not run, since an earlier order may have been lost.
   */
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
    stopper.stop(shard, unwanted);
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
    endHandler
        .end(shard, lapsed, entry.getValue().worker())
        .exceptionally(
            thrown -> {
              LOG.atWarning().log(
                  "jobs: end of the lost task %s is not durable: %s",
                  entry.getKey(), thrown.getMessage());
              return null;
            });
  }
}
