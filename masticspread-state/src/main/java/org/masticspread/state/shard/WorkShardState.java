package org.masticspread.state.shard;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.masticspread.model.id.JobKey;
import org.masticspread.model.id.RequestKey;
import org.masticspread.model.id.ShardId;
import org.masticspread.model.id.TaskKey;
import org.masticspread.model.id.TeamId;
import org.masticspread.model.id.WorkerId;
import org.masticspread.model.result.ResultCode;
import org.masticspread.model.work.Answer;
import org.masticspread.model.work.JobSpec;
import org.masticspread.model.work.JobView;
import org.masticspread.model.work.Payload;
import org.masticspread.model.work.RequestSpec;
import org.masticspread.model.work.TaskPhase;
import org.masticspread.model.work.TaskView;
import org.masticspread.state.format.Envelope;
import org.masticspread.state.format.RecordFormatException;
import org.masticspread.state.format.RecordFormatException.Problem;
import org.masticspread.state.format.RecordKind;

/**
 * The jobs and request records of one work shard. Only {@link #apply} changes durable state; it is
 * called for each record once the record is durable, in journal order.
 *
 * <p>Example: {@code state.beginRequest(spec, now)}; when the kind is NEW, append {@code
 * RequestStarted} and dispatch once it is durable. Thread-safe: one lock per shard.
 */
public final class WorkShardState {
  private final ShardId shard;
  private final Retention retention;
  private final ExpiredIds expired = new ExpiredIds();
  private final RequestTable requests;
  private final Map<JobKey, JobEntry> jobs = new HashMap<>();
  private final Map<JobKey, JobSpec> pendingJobs = new HashMap<>();

  /**
   * Creates an empty shard.
   *
   * @param shard the shard
   * @param retention how long the shard keeps its records
   */
  public WorkShardState(ShardId shard, Retention retention) {
    this.shard = shard;
    this.retention = retention;
    this.requests = new RequestTable(retention, expired);
  }

  /**
   * Restores the state from a snapshot.
   *
   * @param name the name of the object, for error messages
   * @param shard the shard that the snapshot must belong to
   * @param content the bytes that {@link #snapshot} returned
   * @param retention how long the shard keeps its records
   * @return the state
   * @throws RecordFormatException if the bytes are truncated or corrupt, belong to another shard or
   *     kind of record, or have a newer format version
   */
  public static WorkShardState restore(
      String name, ShardId shard, Payload content, Retention retention)
      throws RecordFormatException {
    ShardSnapshot snapshot = Envelope.open(name, content, RecordKind.SNAPSHOT, ShardSnapshot.class);
    if (!snapshot.shard().equals(shard)) {
      throw new RecordFormatException(name, Problem.FOREIGN, "belongs to " + snapshot.shard());
    }
    WorkShardState state = new WorkShardState(shard, retention);
    state.expired.restore(snapshot.expired());
    state.requests.restore(snapshot.requests());
    snapshot.jobs().forEach(row -> state.jobs.put(row.spec().key(), JobEntry.restore(row)));
    return state;
  }

  /**
   * Serializes the durable state. Equal states give equal bytes.
   *
   * @return the bytes
   */
  public Payload snapshot() {
    return Envelope.seal(RecordKind.SNAPSHOT, snapshotRecord());
  }

  private synchronized ShardSnapshot snapshotRecord() {
    List<ShardSnapshot.JobRow> rows = new ArrayList<>();
    for (JobEntry job : jobs.values()) {
      rows.add(job.snapshot());
    }
    rows.sort(Comparator.comparing(row -> row.spec().key().toString()));
    return new ShardSnapshot(shard, rows, requests.snapshot(), expired.snapshot());
  }

  /**
   * Returns the shard.
   *
   * @return the shard
   */
  public ShardId shard() {
    return shard;
  }

  /**
   * Applies a durable change. A record about an unknown job or request has no effect, and applying
   * a record again has none either.
   *
   * @param record the record
   */
  public synchronized void apply(JournalRecord record) {
    if (record instanceof JournalRecord.JobAccepted r) {
      pendingJobs.remove(r.spec().key());
      jobs.putIfAbsent(r.spec().key(), new JobEntry(r.spec(), r.at()));
    } else if (record instanceof JournalRecord.TaskStartMarked r) {
      entry(r.task()).ifPresent(job -> job.markStarted(r.task().index(), r.attempt()));
    } else if (record instanceof JournalRecord.TaskEnded r) {
      entry(r.task()).ifPresent(job -> job.endTask(r));
    } else if (record instanceof JournalRecord.JobCancelled r) {
      entry(r.job()).ifPresent(job -> job.cancel(r.reason(), r.at()));
    } else if (record instanceof JournalRecord.JobParked r) {
      entry(r.job()).ifPresent(job -> job.park(r.reason()));
    } else if (record instanceof JournalRecord.JobResumed r) {
      entry(r.job()).ifPresent(JobEntry::resume);
    } else if (record instanceof JournalRecord.RequestStarted r) {
      requests.applyStarted(r);
    } else if (record instanceof JournalRecord.RequestEnded r) {
      requests.applyEnded(r);
    } else if (record instanceof JournalRecord.RecordsExpired r) {
      expire(r);
    }
  }

  private Optional<JobEntry> entry(JobKey job) {
    return Optional.ofNullable(jobs.get(job));
  }

  private Optional<JobEntry> entry(TaskKey task) {
    return entry(task.job()).filter(job -> job.hasTask(task.index()));
  }

  private void expire(JournalRecord.RecordsExpired limits) {
    expired.dropBefore(limits.hashesBefore());
    expired.add(limits.at(), requests.dropBefore(limits.requestsBefore()));
    List<JobKey> old = endedBefore(limits.jobsBefore());
    old.forEach(jobs::remove);
    expired.add(limits.at(), old.stream().map(WorkShardState::hashKey).toList());
  }

  private List<JobKey> endedBefore(Instant instant) {
    List<JobKey> old = new ArrayList<>();
    for (JobEntry job : jobs.values()) {
      if (job.endedAt() != null && job.endedAt().isBefore(instant)) {
        old.add(job.spec().key());
      }
    }
    return old;
  }

  private static String hashKey(JobKey job) {
    return "job\n" + job;
  }

  /**
   * Returns the record that removes everything past its retention.
   *
   * @param now the current time
   * @return the record to append, or empty if nothing has expired
   */
  public synchronized Optional<JournalRecord.RecordsExpired> dueExpiry(Instant now) {
    var limits =
        new JournalRecord.RecordsExpired(
            now.minus(retention.requests()),
            now.minus(retention.jobs()),
            now.minus(retention.hashes()),
            now);
    boolean due =
        requests.hasBefore(limits.requestsBefore())
            || !endedBefore(limits.jobsBefore()).isEmpty()
            || expired.hasBefore(limits.hashesBefore());
    return due ? Optional.of(limits) : Optional.empty();
  }

  /**
   * Looks up a request and reserves its id for this caller if it is new. After NEW the caller must
   * append {@code RequestStarted}, or call {@link #abandonRequest} if that record was certainly not
   * written.
   *
   * @param request a request that is not idempotent
   * @param now the current time
   * @return whether the request is new, in flight here or decided
   */
  public synchronized BeginRequestResult beginRequest(RequestSpec request, Instant now) {
    return requests.begin(request, now);
  }

  /**
   * Releases the id of a request whose {@code RequestStarted} record was certainly not written.
   *
   * @param request the request
   */
  public synchronized void abandonRequest(RequestKey request) {
    requests.abandon(request);
  }

  /**
   * Returns the recorded answer to a request.
   *
   * @param request the request
   * @return the answer; empty if there is no record or the request is in flight here
   */
  public synchronized Optional<Answer> answer(RequestKey request) {
    return requests.answer(request);
  }

  /**
   * Looks up a job and reserves its id for this caller if it is new. After NEW the caller must
   * append {@code JobAccepted}, or call {@link #abandonJob} if that record was certainly not
   * written.
   *
   * @param job the job
   * @return whether the job is new, being accepted or decided
   */
  public synchronized BeginJobResult beginJob(JobSpec job) {
    JobSpec pending = pendingJobs.get(job.key());
    if (pending != null) {
      return pending.equals(job)
          ? new BeginJobResult(BeginJobResult.Kind.IN_FLIGHT, ResultCode.ALREADY_ACCEPTED)
          : decided(ResultCode.ID_REUSED);
    }
    JobEntry known = jobs.get(job.key());
    if (known != null) {
      boolean same = known.spec().equals(job);
      return decided(same ? ResultCode.ALREADY_ACCEPTED : ResultCode.ID_REUSED);
    }
    if (expired.contains(hashKey(job.key()))) {
      return decided(ResultCode.RECORD_EXPIRED);
    }
    pendingJobs.put(job.key(), job);
    return new BeginJobResult(BeginJobResult.Kind.NEW, ResultCode.ACCEPTED);
  }

  private static BeginJobResult decided(ResultCode code) {
    return new BeginJobResult(BeginJobResult.Kind.DECIDED, code);
  }

  /**
   * Releases the id of a job whose {@code JobAccepted} record was certainly not written.
   *
   * @param job the job
   */
  public synchronized void abandonJob(JobKey job) {
    pendingJobs.remove(job);
  }

  /**
   * Records that an attempt is being placed or runs. This is not durable: a new owner learns it
   * from the rack owners.
   *
   * @param task the task
   * @param attempt the attempt
   * @param phase PLACING or RUNNING
   * @param worker the worker, null while placing
   */
  public synchronized void recordActiveAttempt(
      TaskKey task, int attempt, TaskPhase phase, WorkerId worker) {
    entry(task).ifPresent(job -> job.recordActiveAttempt(task.index(), attempt, phase, worker));
  }

  /**
   * Removes an active attempt that is known not to run; the task has its durable phase again.
   *
   * @param task the task
   * @param attempt the attempt
   */
  public synchronized void clearActiveAttempt(TaskKey task, int attempt) {
    entry(task).ifPresent(job -> job.clearActiveAttempt(task.index(), attempt));
  }

  /**
   * Returns a task.
   *
   * @param task the task
   * @return the task, or empty if it is not known
   */
  public synchronized Optional<TaskView> task(TaskKey task) {
    return entry(task).map(job -> job.taskView(task.index()));
  }

  /**
   * Returns how often {@code TaskEnded} returned a task to WAITING.
   *
   * @param task the task
   * @return the count, 0 if the task is not known
   */
  public synchronized int requeueCount(TaskKey task) {
    return entry(task).map(job -> job.requeueCount(task.index())).orElse(0);
  }

  /**
   * Returns the tasks that a former owner marked as started and that have no known active attempt.
   * They must not be started again: adopt them when a rack owner reports them, or end them as
   * UNKNOWN.
   *
   * @return the tasks
   */
  public synchronized List<TaskKey> unresolvedTasks() {
    List<TaskKey> unresolved = new ArrayList<>();
    for (JobEntry job : jobs.values()) {
      for (int i = 0; i < job.tasks(); i++) {
        if (job.isUnresolved(i)) {
          unresolved.add(new TaskKey(job.spec().key(), i));
        }
      }
    }
    return unresolved;
  }

  /**
   * Returns a job.
   *
   * @param job the job
   * @return the job, or empty if it is not known
   */
  public synchronized Optional<JobView> job(JobKey job) {
    return entry(job).map(JobEntry::view);
  }

  /**
   * Returns whether a job was cancelled.
   *
   * @param job the job
   * @return whether it was cancelled; false if the job is not known
   */
  public synchronized boolean isCancelled(JobKey job) {
    return entry(job).map(JobEntry::isCancelled).orElse(false);
  }

  /**
   * Returns jobs of a team in the order of their keys.
   *
   * @param team the team
   * @param limit the maximum number of jobs to return
   * @return the jobs
   */
  public synchronized List<JobView> jobs(TeamId team, int limit) {
    return jobs.values().stream()
        .filter(job -> job.spec().key().team().equals(team))
        .sorted(Comparator.comparing(job -> job.spec().key().toString()))
        .limit(limit)
        .map(JobEntry::view)
        .toList();
  }

  /**
   * Returns the jobs with a task that has not ended or has an active attempt.
   *
   * @return the jobs in no order
   */
  public synchronized List<JobView> activeJobs() {
    return jobs.values().stream().filter(JobEntry::isActive).map(JobEntry::view).toList();
  }

  /**
   * Returns the number of jobs.
   *
   * @return the count
   */
  public synchronized int jobCount() {
    return jobs.size();
  }

  /**
   * Returns the number of request records.
   *
   * @return the count
   */
  public synchronized int requestCount() {
    return requests.size();
  }
}
