package org.masticspread.state.shard;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.time.Instant;
import org.masticspread.model.id.JobKey;
import org.masticspread.model.id.RequestKey;
import org.masticspread.model.id.TaskKey;
import org.masticspread.model.id.WorkerId;
import org.masticspread.model.result.ResultCode;
import org.masticspread.model.work.JobSpec;
import org.masticspread.model.work.Payload;
import org.masticspread.model.work.TaskPhase;

/** A durable change of a work shard. Applying the records in their order rebuilds the state. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
  @JsonSubTypes.Type(value = JournalRecord.JobAccepted.class, name = "ja"),
  @JsonSubTypes.Type(value = JournalRecord.TaskStartMarked.class, name = "ts"),
  @JsonSubTypes.Type(value = JournalRecord.TaskEnded.class, name = "te"),
  @JsonSubTypes.Type(value = JournalRecord.JobCancelled.class, name = "jc"),
  @JsonSubTypes.Type(value = JournalRecord.JobParked.class, name = "jp"),
  @JsonSubTypes.Type(value = JournalRecord.JobResumed.class, name = "jr"),
  @JsonSubTypes.Type(value = JournalRecord.RequestStarted.class, name = "rs"),
  @JsonSubTypes.Type(value = JournalRecord.RequestEnded.class, name = "re"),
  @JsonSubTypes.Type(value = JournalRecord.RecordsExpired.class, name = "ex")
})
public sealed interface JournalRecord {
  /**
   * Returns the time of the change by the clock of the shard's owner.
   *
   * @return the instant
   */
  Instant at();

  /**
   * A job was accepted.
   *
   * @param spec the job
   * @param at the time
   */
  record JobAccepted(JobSpec spec, Instant at) implements JournalRecord {}

  /**
   * A task that must not run twice is about to be sent to a worker.
   *
   * @param task the task
   * @param attempt the number of the attempt
   * @param at the time
   */
  record TaskStartMarked(TaskKey task, int attempt, Instant at) implements JournalRecord {}

  /**
   * An attempt of a task ended.
   *
   * @param task the task
   * @param attempt the number of the attempt
   * @param phase a terminal phase, or WAITING when the task is to be attempted again; WAITING is
   *     allowed for a task that must not run twice only if the attempt certainly did not run
   * @param worker the worker that ran the attempt, may be null
   * @param reason the reason as a short sentence
   * @param at the time
   */
  record TaskEnded(
      TaskKey task, int attempt, TaskPhase phase, WorkerId worker, String reason, Instant at)
      implements JournalRecord {}

  /**
   * A job was cancelled: its waiting tasks end, its running tasks are to be stopped.
   *
   * @param job the job
   * @param reason the reason as a short sentence
   * @param at the time
   */
  record JobCancelled(JobKey job, String reason, Instant at) implements JournalRecord {}

  /**
   * A job was parked: none of its tasks starts until it is resumed.
   *
   * @param job the job
   * @param reason the reason as a short sentence
   * @param at the time
   */
  record JobParked(JobKey job, String reason, Instant at) implements JournalRecord {}

  /**
   * A parked job was resumed.
   *
   * @param job the job
   * @param at the time
   */
  record JobResumed(JobKey job, Instant at) implements JournalRecord {}

  /**
   * A request that must run at most once is about to be dispatched.
   *
   * @param request the request
   * @param fingerprint the hash of its content, see {@link Fingerprint}
   * @param at the time
   */
  record RequestStarted(RequestKey request, long fingerprint, Instant at)
      implements JournalRecord {}

  /**
   * A request ended. A code whose run state is NOT_RUN releases the id; any other code is the
   * answer to repeats of the request.
   *
   * @param request the request
   * @param code the result code
   * @param body the body of the answer
   * @param detail the detail as a short sentence
   * @param at the time
   */
  record RequestEnded(RequestKey request, ResultCode code, Payload body, String detail, Instant at)
      implements JournalRecord {}

  /**
   * Records past their retention were removed; hashes of their ids are kept longer.
   *
   * @param requestsBefore requests that started before this time are removed
   * @param jobsBefore jobs that ended before this time are removed
   * @param hashesBefore hashes of ids whose records expired before this time are removed
   * @param at the time
   */
  record RecordsExpired(
      Instant requestsBefore, Instant jobsBefore, Instant hashesBefore, Instant at)
      implements JournalRecord {}
}
