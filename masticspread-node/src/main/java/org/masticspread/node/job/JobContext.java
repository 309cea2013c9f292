package org.masticspread.node.job;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.time.InstantSource;
import org.masticspread.model.id.TaskKey;
import org.masticspread.model.work.JobView;
import org.masticspread.model.work.TaskPhase;
import org.masticspread.model.work.TaskView;
import org.masticspread.node.explain.DecisionLog;
import org.masticspread.node.member.Authority;
import org.masticspread.node.member.Members;
import org.masticspread.node.member.PeerCalls;
import org.masticspread.policy.estimate.Estimates;
import org.masticspread.policy.health.HealthTracker;
import org.masticspread.policy.jobs.JobQueue;
import org.masticspread.state.shard.AttemptNumbers;
import org.masticspread.state.shard.JournalRecord;

/**
 * Collaborators shared by the parts of a work-shard owner.
 *
 * @param clock the clock
 * @param times the time limits
 * @param journal the journal that makes changes durable
 * @param members the members with their racks and shards
 * @param calls the calls to rack owners
 * @param authority whether this VM may act as owner
 * @param queue the queue of waiting tasks
 * @param estimates the estimated sizes and run times of tasks
 * @param health the tracker that finds jobs whose tasks fail on every worker
 * @param decisions the log of decisions
 * @param metrics the registry of metrics
 */
public record JobContext(
    InstantSource clock,
    JobTimes times,
    ShardJournal journal,
    Members members,
    PeerCalls calls,
    Authority authority,
    JobQueue queue,
    Estimates estimates,
    HealthTracker health,
    DecisionLog decisions,
    MetricRegistry metrics) {
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  /** Queues the tasks of a job that are neither running nor ended. */
  void enqueue(JobShard shard, JobView job) {
    for (TaskView task : job.tasks()) {
      TaskKey key = new TaskKey(job.spec().key(), task.index());
      if (task.phase() == TaskPhase.WAITING && shard.placement(key).isEmpty()) {
        int attempt = AttemptNumbers.next(shard.epoch(), task.attempt());
        queue.add(job.spec(), job.acceptedAt(), task.index(), attempt);
      }
    }
  }

  /** Appends a record that no caller waits for; a failure is logged. */
  void append(JobShard shard, JournalRecord record) {
    journal
        .append(shard.id(), shard.epoch(), record, clock.instant().plus(times.appendTimeout()))
        .exceptionally(
            thrown -> {
              LOG.atWarning().log(
                  "jobs: journal append for %s failed: %s", shard.id(), thrown.getMessage());
              return null;
            });
  }
}
