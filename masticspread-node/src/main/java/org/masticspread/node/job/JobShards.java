package org.masticspread.node.job;

import com.google.common.flogger.FluentLogger;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.id.JobKey;
import org.masticspread.model.id.ShardId;
import org.masticspread.model.id.TaskKey;
import org.masticspread.model.id.TeamId;
import org.masticspread.model.peer.CancelJob;
import org.masticspread.model.peer.JobAnswered;
import org.masticspread.model.peer.JobsListed;
import org.masticspread.model.peer.ListJobs;
import org.masticspread.model.peer.ReadJob;
import org.masticspread.model.peer.ReportTasks;
import org.masticspread.model.peer.SubmitJob;
import org.masticspread.model.peer.TasksAcknowledged;
import org.masticspread.model.result.ResultCode;
import org.masticspread.model.work.JobSpec;
import org.masticspread.model.work.JobView;
import org.masticspread.model.work.TaskPhase;
import org.masticspread.model.work.TaskView;
import org.masticspread.node.explain.DecisionLog;
import org.masticspread.policy.placement.FitCheck;
import org.masticspread.state.ownership.ShardMap;
import org.masticspread.state.shard.BeginJobResult;
import org.masticspread.state.shard.JournalRecord;
import org.masticspread.state.shard.WorkShardState;

/**
 * The work shards that this VM owns: accepts jobs durably, starts their tasks and records how they
 * end. Thread-safe.
 *
 * <p>Example: {@code shards.acquired(shard, epoch, state)} after a takeover, {@code
 * shards.schedule()} and {@code shards.recover()} at intervals.
 */
public final class JobShards {
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  private final JobContext context;
  private final ShardMap map;
  private final Map<ShardId, JobShard> shards = new ConcurrentHashMap<>();
  private final TaskStopper stopper;
  private final TaskEndHandler endHandler;
  private final GangStarter gangStarter;
  private final TaskDispatch dispatch;
  private final JobRecovery recovery;
  private volatile Configuration configuration = Configuration.EMPTY;

  /**
   * Creates the component without any shard.
   *
   * @param context the shared collaborators
   * @param map the mapping of jobs to work shards
   */
  public JobShards(JobContext context, ShardMap map) {
    this.context = context;
    this.map = map;
    this.stopper = new TaskStopper(context);
    this.endHandler = new TaskEndHandler(context, stopper);
    this.gangStarter = new GangStarter(context, stopper);
    this.dispatch = new TaskDispatch(context, this::shardOf, gangStarter);
    this.recovery = new JobRecovery(context, endHandler, stopper);
  }

  /**
   * Work shard that this VM owns.
   *
   * @param shard the shard
   * @param epoch its epoch
   * @param state its state
   */
  public record Owned(ShardId shard, long epoch, WorkShardState state) {}

  /**
   * Returns an owned shard that accepts new work.
   *
   * @param shard the shard
   * @return the shard, or empty if this VM does not own it or is handing it over
   */
  public Optional<Owned> owned(ShardId shard) {
    return Optional.ofNullable(shards.get(shard))
        .filter(s -> !s.isReleasing())
        .map(s -> new Owned(s.id(), s.epoch(), s.state()));
  }

  private Optional<JobShard> shardOf(JobKey job) {
    return Optional.ofNullable(shards.get(map.workShard(job)));
  }

  /**
   * Applies a configuration.
   *
   * @param newer the configuration in force
   */
  public void configure(Configuration newer) {
    configuration = newer;
    context.queue().configure(newer);
  }

  /**
   * Starts owning a shard.
   *
   * @param shard the shard
   * @param epoch its epoch
   * @param state its recovered state
   */
  public void acquired(ShardId shard, long epoch, WorkShardState state) {
    shards.put(shard, new JobShard(shard, epoch, state));
    LOG.atInfo().log("jobs: owns %s under epoch %d, %d jobs", shard, epoch, state.jobCount());
  }

  /**
   * Prepares the handover of a shard to another VM: accepts no new jobs and starts no tasks for it
   * any more.
   *
   * @param shard the shard
   */
  public void release(ShardId shard) {
    JobShard owned = shards.get(shard);
    if (owned != null && owned.release()) {
      removeFromQueue(owned);
    }
  }

  /**
   * Stops owning a shard.
   *
   * @param shard the shard
   */
  public void lost(ShardId shard) {
    JobShard gone = shards.remove(shard);
    if (gone == null) {
      return;
    }
    removeFromQueue(gone);
    LOG.atInfo().log("jobs: no longer owns %s", shard);
  }

  private void removeFromQueue(JobShard shard) {
    for (JobView job : shard.state().activeJobs()) {
      gangStarter.cancel(job.spec().key());
      context.queue().cancel(job.spec().key());
    }
  }

  /** Starts the tasks that are next in the queue and advances the gangs. */
  public void schedule() {
    dispatch.runRound();
    gangStarter.tick();
  }

  /** Seals racks and advances the recovery of shards. */
  public void recover() {
    recovery.runRound(shards.values(), configuration);
  }

  /**
   * Accepts a job durably.
   *
   * @param message the job
   * @return the result
   */
  public CompletionStage<JobAnswered> submit(SubmitJob message) {
    JobShard shard = shards.get(message.shard());
    if (shard == null || shard.isReleasing()) {
      return answered(ResultCode.NOT_OWNER, null, "the shard is not owned here");
    }
    JobSpec spec = message.job();
    BeginJobResult begin = shard.state().beginJob(spec);
    JobView known = shard.state().job(spec.key()).orElse(null);
    return switch (begin.kind()) {
      case DECIDED -> answered(begin.code(), known, "");
      case IN_FLIGHT -> answered(ResultCode.NOT_OWNER, null, "the same job is being accepted");
      case NEW -> accept(shard, spec, message.acceptBy());
    };
  }

  private CompletionStage<JobAnswered> accept(JobShard shard, JobSpec spec, Instant acceptBy) {
    Optional<FitCheck.Refusal> refusal = FitCheck.check(configuration, spec);
    if (refusal.isPresent()) {
      shard.state().abandonJob(spec.key());
      return answered(refusal.get().code(), null, refusal.get().detail());
    }
    Instant now = context.clock().instant();
    return context
        .journal()
        .append(shard.id(), shard.epoch(), new JournalRecord.JobAccepted(spec, now), acceptBy)
        .handle((done, thrown) -> accepted(shard, spec, thrown));
  }

  private JobAnswered accepted(JobShard shard, JobSpec spec, Throwable thrown) {
    if (thrown == null) {
      JobView job = shard.state().job(spec.key()).orElseThrow();
      context.enqueue(shard, job);
      context.decisions().add(DecisionLog.subject(spec.key()), "accepted", "durable");
      return new JobAnswered(ResultCode.ACCEPTED, job, "");
    }
    ResultCode code = ShardJournal.codeOf(thrown);
    if (ShardJournal.isCertainlyNotWritten(thrown)) {
      shard.state().abandonJob(spec.key());
    }
    return new JobAnswered(code, null, "not accepted: " + thrown.getMessage());
  }

  private static CompletionStage<JobAnswered> answered(
      ResultCode code, JobView job, String detail) {
    return CompletableFuture.completedFuture(new JobAnswered(code, job, detail));
  }

  /**
   * Reads a job and the reasons why its tasks wait.
   *
   * @param message the job
   * @return the job
   */
  public CompletionStage<JobAnswered> read(ReadJob message) {
    JobShard shard = shards.get(message.shard());
    if (shard == null) {
      return answered(ResultCode.NOT_OWNER, null, "the shard is not owned here");
    }
    return shard
        .state()
        .job(message.job())
        .map(j -> answered(ResultCode.OK, withWaitReasons(j), ""))
        .orElseGet(() -> answered(ResultCode.NOT_FOUND, null, "job: no job " + message.job()));
  }

  private JobView withWaitReasons(JobView job) {
    List<TaskView> tasks = new ArrayList<>();
    for (TaskView task : job.tasks()) {
      boolean waiting = task.phase() == TaskPhase.WAITING;
      tasks.add(waiting ? withWaitReason(job.spec().key(), task) : task);
    }
    return new JobView(job.spec(), job.phase(), job.acceptedAt(), tasks, job.reason());
  }

  private TaskView withWaitReason(JobKey job, TaskView task) {
    String reason =
        context.queue().reason(new TaskKey(job, task.index())).map(r -> r.text()).orElse("");
    return new TaskView(task.index(), task.phase(), task.attempt(), task.worker(), reason);
  }

  /**
   * Cancels a job durably and stops its running tasks.
   *
   * @param message the job
   * @return the result
   */
  public CompletionStage<JobAnswered> cancel(CancelJob message) {
    JobShard shard = shards.get(message.shard());
    if (shard == null) {
      return answered(ResultCode.NOT_OWNER, null, "the shard is not owned here");
    }
    JobKey key = message.job();
    Optional<JobView> job = shard.state().job(key);
    if (job.isEmpty()) {
      return answered(ResultCode.NOT_FOUND, null, "job: no job " + key);
    }
    if (job.get().phase().isTerminal()) {
      return answered(ResultCode.OK, job.get(), "it has ended already");
    }
    JournalRecord record =
        new JournalRecord.JobCancelled(key, "cancelled", context.clock().instant());
    return context
        .journal()
        .append(shard.id(), shard.epoch(), record, message.acceptBy())
        .handle((done, thrown) -> cancelled(shard, key, thrown));
  }

  private JobAnswered cancelled(JobShard shard, JobKey key, Throwable thrown) {
    JobView job = shard.state().job(key).orElse(null);
    if (thrown != null) {
      return new JobAnswered(
          ShardJournal.codeOf(thrown), job, "not cancelled: " + thrown.getMessage());
    }
    gangStarter.cancel(key);
    context.queue().cancel(key);
    stopper.stop(shard, shard.placementsOf(key));
    context.decisions().add(DecisionLog.subject(key), "cancelled", "asked for");
    return new JobAnswered(ResultCode.OK, job, "");
  }

  /**
   * Lists jobs of the owned shards.
   *
   * @param message the team and the maximum number of jobs to return
   * @return the jobs
   */
  public JobsListed list(ListJobs message) {
    Set<TeamId> teams =
        message.team() == null
            ? configuration.teams().stream().map(t -> t.name()).collect(Collectors.toSet())
            : Set.of(message.team());
    List<JobView> jobs = new ArrayList<>();
    for (JobShard shard : shards.values()) {
      teams.forEach(t -> jobs.addAll(shard.state().jobs(t, message.limit())));
    }
    jobs.sort(Comparator.comparing(j -> j.spec().key().toString()));
    return new JobsListed(jobs.subList(0, Math.min(jobs.size(), message.limit())));
  }

  /**
   * Handles a report of a rack owner about ended tasks.
   *
   * @param message the report
   * @return the attempts whose end is durable
   */
  public CompletionStage<TasksAcknowledged> report(ReportTasks message) {
    JobShard shard = shards.get(message.workShard());
    return shard == null
        ? CompletableFuture.completedFuture(new TasksAcknowledged(List.of()))
        : endHandler.report(shard, message);
  }

  /** Expires records past their retention. */
  public void expireRecords() {
    for (JobShard shard : shards.values()) {
      shard.state().dueExpiry(context.clock().instant()).ifPresent(r -> context.append(shard, r));
    }
  }

  /**
   * Returns the number of waiting tasks on this VM.
   *
   * @return the number of tasks
   */
  public int waitingTasks() {
    return context.queue().waiting();
  }
}
