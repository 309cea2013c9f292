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
 * What the parts of the work-shard owner share.
 *
 * @param clock the clock
 * @param times the times
 * @param journal makes changes durable
 * @param members knows racks and their owners
 * @param calls calls rack owners
 * @param authority tells whether this VM may act
 * @param queue the tasks that wait
 * @param estimates sizes and run times
 * @param trouble tells jobs that fail everywhere
 * @param decisions where decisions are remembered
 * @param metrics where it counts
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
    HealthTracker trouble,
    DecisionLog decisions,
    MetricRegistry metrics) {
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  /** Lets the tasks of a job wait that neither run nor have ended. */
  void enqueue(JobShard shard, JobView job) {
    for (TaskView task : job.tasks()) {
      TaskKey key = new TaskKey(job.spec().key(), task.index());
      if (task.phase() == TaskPhase.WAITING && shard.placement(key).isEmpty()) {
        int attempt = AttemptNumbers.next(shard.epoch(), task.attempt());
        queue.add(job.spec(), job.acceptedAt(), task.index(), attempt);
      }
    }
  }

  /** Makes a change durable that no caller waits for. */
  void append(JobShard shard, JournalRecord record) {
    journal
        .append(shard.id(), shard.epoch(), record, clock.instant().plus(times.hold()))
        .exceptionally(
            thrown -> {
              LOG.atWarning().log("jobs: %s: %s", shard.id(), thrown.getMessage());
              return null;
            });
  }
}
