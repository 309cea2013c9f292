package org.masticspread.policy.jobs;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.config.TeamConfig;
import org.masticspread.model.id.JobKey;
import org.masticspread.model.id.RackId;
import org.masticspread.model.id.TaskKey;
import org.masticspread.model.id.TeamId;
import org.masticspread.model.peer.PlaceOutcome;
import org.masticspread.model.peer.RackDigest;
import org.masticspread.model.resource.ResourceVector;
import org.masticspread.model.work.JobSpec;
import org.masticspread.policy.estimate.Estimates;

/**
 * Holds the waiting tasks of one work shard and selects those to start next. Teams below their
 * floor come first, then urgent work, then teams by weight. Within a team, jobs are ordered by
 * urgency and latest start. Thread-safe; all state is guarded by the lock of the queue.
 *
 * <pre>{@code
 * JobQueue queue = new JobQueue(estimates, clock, seed).configure(configuration);
 * queue.add(spec, submittedAt, index, attempt);
 * PickResult picks = queue.pick(digests, limit);
 * // send the tasks to the rack owners, then for each refusal:
 * queue.requeue(assignment, PlaceOutcome.NO_ROOM);
 * }</pre>
 */
public final class JobQueue {
  private static final Duration REFRESH_INTERVAL = Duration.ofSeconds(5);

  private final Estimates estimates;
  private final InstantSource clock;

  @GuardedBy("this")
  private final Map<JobKey, WaitingJob> jobs = new HashMap<>();

  @GuardedBy("this")
  private final Map<TeamId, TeamQueue> teams = new HashMap<>();

  @GuardedBy("this")
  private final RackChooser racks;

  @GuardedBy("this")
  private Instant refreshedAt = Instant.MIN;

  @GuardedBy("this")
  private long round;

  @GuardedBy("this")
  private long sequence;

  /**
   * Creates an empty queue.
   *
   * @param estimates the estimated sizes and run times of tasks
   * @param clock the clock
   * @param seed the random seed for choosing racks; must differ between VMs
   */
  public JobQueue(Estimates estimates, InstantSource clock, long seed) {
    this.estimates = estimates;
    this.clock = clock;
    this.racks = new RackChooser(seed);
  }

  /**
   * Applies the teams, racks and workers of a configuration.
   *
   * @param configuration the configuration
   * @return this queue
   */
  @CanIgnoreReturnValue
  public synchronized JobQueue configure(Configuration configuration) {
    racks.configure(configuration);
    for (TeamConfig team : configuration.teams()) {
      teams.computeIfAbsent(team.name(), k -> new TeamQueue(team)).config = team;
    }
    refreshedAt = Instant.MIN;
    return this;
  }

  /**
   * Adds a waiting task. A later attempt replaces an earlier one.
   *
   * @param spec the job
   * @param submittedAt when the job was submitted
   * @param index the position of the task in the job, from 0
   * @param attempt the number of the attempt, from 1
   */
  public synchronized void add(JobSpec spec, Instant submittedAt, int index, int attempt) {
    WaitingJob job = jobs.get(spec.key());
    if (job == null) {
      job = new WaitingJob(spec, submittedAt, ++sequence);
      jobs.put(spec.key(), job);
    }
    job.attempts.put(index, attempt);
    job.assigned.remove(index);
    enqueue(job);
  }

  @GuardedBy("this")
  private void enqueue(WaitingJob job) {
    TeamQueue team = teams.get(job.spec.key().team());
    if (team == null) {
      job.reason = WaitReason.NO_POOL;
      return;
    }
    if (!job.queued) {
      estimate(job);
      team.add(job);
    }
  }

  @GuardedBy("this")
  private void estimate(WaitingJob job) {
    TeamQueue team = teams.get(job.spec.key().team());
    ResourceVector limit = racks.largestWorker(team.config.pool());
    job.estimate(estimates.size(job.spec, limit), estimates.runTime(job.spec));
  }

  /**
   * Removes a job, in constant time.
   *
   * @param job the job
   * @return whether the job was known
   */
  @CanIgnoreReturnValue
  public synchronized boolean cancel(JobKey job) {
    WaitingJob removed = jobs.remove(job);
    if (removed == null) {
      return false;
    }
    removed.cancelled = true;
    return true;
  }

  /**
   * Removes a task that has ended or was cancelled.
   *
   * @param task the task
   */
  public synchronized void remove(TaskKey task) {
    WaitingJob job = jobs.get(task.job());
    if (job == null) {
      return;
    }
    job.attempts.remove(task.index());
    job.assigned.remove(task.index());
    if (job.attempts.isEmpty() && job.assigned.isEmpty()) {
      cancel(task.job());
    }
  }

  /**
   * Selects the tasks to start next. They no longer count as waiting.
   *
   * @param digests the state of the racks as last reported by their owners
   * @param limit the maximum number of starts, a gang counting as one
   * @return the selected tasks and gangs
   */
  public synchronized PickResult pick(List<RackDigest> digests, int limit) {
    Instant now = clock.instant();
    round++;
    racks.update(digests);
    refresh(now);
    PickRound pickRound = new PickRound(racks, teams.values(), now, round);
    List<Assignment> tasks = new ArrayList<>();
    List<GangStart> gangs = new ArrayList<>();
    while (tasks.size() + gangs.size() < limit) {
      PickRound.Choice choice = pickRound.next();
      if (choice == null) {
        break;
      }
      if (choice.job().isGang()) {
        gangs.add(startGang(choice.job()));
      } else {
        tasks.add(assign(choice.job(), choice.rack().rack()));
      }
    }
    return new PickResult(tasks, gangs);
  }

  @GuardedBy("this")
  private void refresh(Instant now) {
    if (now.isBefore(refreshedAt.plus(REFRESH_INTERVAL))) {
      return;
    }
    refreshedAt = now;
    teams.values().forEach(TeamQueue::clear);
    for (WaitingJob job : jobs.values()) {
      if (job.isWaiting()) {
        enqueue(job);
      }
    }
  }

  private static Assignment assign(WaitingJob job, RackId rack) {
    Map.Entry<Integer, Integer> next = job.attempts.pollFirstEntry();
    job.assigned.put(next.getKey(), rack);
    return new Assignment(job.spec, next.getKey(), next.getValue(), job.size, rack);
  }

  private static GangStart startGang(WaitingJob job) {
    GangStart gang = new GangStart(job.spec, job.attempts, job.size);
    job.attempts.clear();
    return gang;
  }

  /**
   * Handles the outcome of an assigned task. The task waits again if it certainly did not start.
   *
   * @param assignment the task
   * @param outcome the outcome reported by the rack owner
   */
  public synchronized void requeue(Assignment assignment, PlaceOutcome outcome) {
    WaitingJob job = jobs.get(assignment.job().key());
    if (job == null || outcome == PlaceOutcome.STARTED || outcome == PlaceOutcome.UNKNOWN) {
      return;
    }
    RackView view = racks.view(assignment.rack());
    if (view != null && outcome == PlaceOutcome.NO_ROOM) {
      view.recordRefusal(job.spec.key().team(), assignment.size());
    }
    add(job.spec, job.submittedAt, assignment.index(), assignment.attempt());
    job.reason = WaitReason.NO_ROOM;
  }

  /**
   * Puts the tasks of a gang back into the queue.
   *
   * @param gang the gang
   */
  public synchronized void requeue(GangStart gang) {
    WaitingJob job = jobs.get(gang.job().key());
    if (job == null) {
      return;
    }
    gang.attempts().forEach((index, attempt) -> add(job.spec, job.submittedAt, index, attempt));
    job.reason = WaitReason.NO_ROOM;
  }

  /**
   * Returns why a task waits.
   *
   * @param task the task
   * @return the reason, or empty if the task is unknown
   */
  public synchronized Optional<WaitReason> reason(TaskKey task) {
    WaitingJob job = jobs.get(task.job());
    if (job == null) {
      return Optional.empty();
    }
    return Optional.of(job.attempts.containsKey(task.index()) ? job.reason : WaitReason.GIVEN_OUT);
  }

  /**
   * Returns the number of waiting tasks.
   *
   * @return the number
   */
  public synchronized int waiting() {
    return jobs.values().stream().mapToInt(j -> j.attempts.size()).sum();
  }
}
