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

/** A durable change of a work shard. Applying records in their order gives the state again. */
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
   * Returns when the change was made, by the clock of the shard's owner.
   *
   * @return the instant
   */
  Instant at();

  /**
   * A job was accepted.
   *
   * @param spec the job
   * @param at when
   */
  record JobAccepted(JobSpec spec, Instant at) implements JournalRecord {}

  /**
   * A task that must not run twice is about to be sent to a worker.
   *
   * @param task the task
   * @param attempt the number of the attempt
   * @param at when
   */
  record TaskStartMarked(TaskKey task, int attempt, Instant at) implements JournalRecord {}

  /**
   * An attempt of a task ended.
   *
   * @param task the task
   * @param attempt the number of the attempt
   * @param phase a terminal phase, or WAITING when the task is to be tried again; for a task that
   *     must not run twice WAITING needs the proof that the attempt did not run
   * @param worker where it ran, may be null
   * @param reason a short sentence
   * @param at when
   */
  record TaskEnded(
      TaskKey task, int attempt, TaskPhase phase, WorkerId worker, String reason, Instant at)
      implements JournalRecord {}

  /**
   * A job was cancelled: its waiting tasks end, its running tasks are to be stopped.
   *
   * @param job the job
   * @param reason a short sentence
   * @param at when
   */
  record JobCancelled(JobKey job, String reason, Instant at) implements JournalRecord {}

  /**
   * A job was parked: none of its tasks starts until it is resumed.
   *
   * @param job the job
   * @param reason a short sentence
   * @param at when
   */
  record JobParked(JobKey job, String reason, Instant at) implements JournalRecord {}

  /**
   * A parked job goes on.
   *
   * @param job the job
   * @param at when
   */
  record JobResumed(JobKey job, Instant at) implements JournalRecord {}

  /**
   * A request that must run at most once is about to be dispatched.
   *
   * @param request the request
   * @param fingerprint tells its content from another one, see {@link Fingerprint}
   * @param at when
   */
  record RequestStarted(RequestKey request, long fingerprint, Instant at)
      implements JournalRecord {}

  /**
   * A request ended. A code of the not-run family frees the id, any other is the answer to repeats.
   *
   * @param request the request
   * @param code what became of it
   * @param body the whole answer
   * @param detail a short sentence
   * @param at when
   */
  record RequestEnded(RequestKey request, ResultCode code, Payload body, String detail, Instant at)
      implements JournalRecord {}

  /**
   * Records past their retention were forgotten; a hash of their ids is kept longer.
   *
   * @param requestsBefore requests that started before this are forgotten
   * @param jobsBefore jobs that ended before this are forgotten
   * @param hashesBefore hashes of ids that were forgotten before this are dropped
   * @param at when
   */
  record RecordsExpired(
      Instant requestsBefore, Instant jobsBefore, Instant hashesBefore, Instant at)
      implements JournalRecord {}
}
