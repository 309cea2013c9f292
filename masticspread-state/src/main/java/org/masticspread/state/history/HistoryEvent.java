package org.masticspread.state.history;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.time.Instant;
import org.masticspread.model.id.JobKey;
import org.masticspread.model.id.RequestKey;
import org.masticspread.model.id.TaskKey;
import org.masticspread.model.id.VmId;
import org.masticspread.model.id.WorkerId;
import org.masticspread.model.result.ResultCode;
import org.masticspread.model.work.JobPhase;
import org.masticspread.model.work.Payload;

/** Something that a caller, an endpoint, a worker or a VM saw. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "event")
@JsonSubTypes({
  @JsonSubTypes.Type(value = HistoryEvent.RequestSent.class, name = "requestSent"),
  @JsonSubTypes.Type(value = HistoryEvent.RequestRan.class, name = "requestRan"),
  @JsonSubTypes.Type(value = HistoryEvent.RequestAnswered.class, name = "requestAnswered"),
  @JsonSubTypes.Type(value = HistoryEvent.JobSubmitted.class, name = "jobSubmitted"),
  @JsonSubTypes.Type(value = HistoryEvent.JobAnswered.class, name = "jobAnswered"),
  @JsonSubTypes.Type(value = HistoryEvent.JobShown.class, name = "jobShown"),
  @JsonSubTypes.Type(value = HistoryEvent.TaskStarted.class, name = "taskStarted"),
  @JsonSubTypes.Type(value = HistoryEvent.TaskStopped.class, name = "taskStopped"),
  @JsonSubTypes.Type(value = HistoryEvent.ConfigInForce.class, name = "configInForce")
})
public sealed interface HistoryEvent {
  /**
   * Returns when it was seen. Events are taken in this order; those of the same instant in the
   * order in which they were added.
   *
   * @return the instant
   */
  Instant at();

  /**
   * A caller sent a request.
   *
   * @param request the request
   * @param send names this sending; a repeat of the request has another one
   * @param idempotent whether it may run more than once
   * @param at when
   */
  record RequestSent(RequestKey request, String send, boolean idempotent, Instant at)
      implements HistoryEvent {}

  /**
   * An endpoint ran a request.
   *
   * @param request the request
   * @param answer the whole answer that it gave
   * @param at when it began
   */
  record RequestRan(RequestKey request, Payload answer, Instant at) implements HistoryEvent {}

  /**
   * A caller got an answer.
   *
   * @param request the request
   * @param send the sending that it answers
   * @param code the result code
   * @param body the body
   * @param at when
   */
  record RequestAnswered(RequestKey request, String send, ResultCode code, Payload body, Instant at)
      implements HistoryEvent {}

  /**
   * A caller submitted a job.
   *
   * @param job the job
   * @param tasks the number of tasks
   * @param idempotent whether a task may run more than once
   * @param at when
   */
  record JobSubmitted(JobKey job, int tasks, boolean idempotent, Instant at)
      implements HistoryEvent {}

  /**
   * A caller was told what became of a submission.
   *
   * @param job the job
   * @param code the result code
   * @param at when
   */
  record JobAnswered(JobKey job, ResultCode code, Instant at) implements HistoryEvent {}

  /**
   * A job was shown at the end of the history.
   *
   * @param job the job
   * @param phase its phase
   * @param at when
   */
  record JobShown(JobKey job, JobPhase phase, Instant at) implements HistoryEvent {}

  /**
   * A worker started a task.
   *
   * @param task the task
   * @param attempt the attempt
   * @param worker the worker
   * @param at when
   */
  record TaskStarted(TaskKey task, int attempt, WorkerId worker, Instant at)
      implements HistoryEvent {}

  /**
   * A task no longer runs on a worker.
   *
   * @param task the task
   * @param attempt the attempt
   * @param worker the worker
   * @param at when
   */
  record TaskStopped(TaskKey task, int attempt, WorkerId worker, Instant at)
      implements HistoryEvent {}

  /**
   * A configuration came into force on a VM.
   *
   * @param vm the VM, whatever its incarnation
   * @param revision the revision
   * @param at when
   */
  record ConfigInForce(VmId vm, long revision, Instant at) implements HistoryEvent {}
}
