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

/** An event observed by a caller, an endpoint, a worker or a VM. */
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
   * Returns the time of the event. Events are checked in this order, and those of the same instant
   * in the order in which they were added.
   *
   * @return the instant
   */
  Instant at();

  /**
   * A caller sent a request.
   *
   * @param request the request
   * @param send the id of this sending; a repeat of the request has another id
   * @param idempotent whether the request may run more than once
   * @param at the time
   */
  record RequestSent(RequestKey request, String send, boolean idempotent, Instant at)
      implements HistoryEvent {}

  /**
   * An endpoint ran a request.
   *
   * @param request the request
   * @param answer the complete answer of the endpoint
   * @param at when the run started
   */
  record RequestRan(RequestKey request, Payload answer, Instant at) implements HistoryEvent {}

  /**
   * A caller received an answer.
   *
   * @param request the request
   * @param send the id of the sending that is answered
   * @param code the result code
   * @param body the body
   * @param at the time
   */
  record RequestAnswered(RequestKey request, String send, ResultCode code, Payload body, Instant at)
      implements HistoryEvent {}

  /**
   * A caller submitted a job.
   *
   * @param job the job
   * @param tasks the number of tasks
   * @param idempotent whether a task may run more than once
   * @param at the time
   */
  record JobSubmitted(JobKey job, int tasks, boolean idempotent, Instant at)
      implements HistoryEvent {}

  /**
   * A caller received the result of a job submission.
   *
   * @param job the job
   * @param code the result code
   * @param at the time
   */
  record JobAnswered(JobKey job, ResultCode code, Instant at) implements HistoryEvent {}

  /**
   * The phase of a job was read at the end of the history.
   *
   * @param job the job
   * @param phase the phase of the job
   * @param at the time
   */
  record JobShown(JobKey job, JobPhase phase, Instant at) implements HistoryEvent {}

  /**
   * A worker started a task.
   *
   * @param task the task
   * @param attempt the attempt
   * @param worker the worker
   * @param at the time
   */
  record TaskStarted(TaskKey task, int attempt, WorkerId worker, Instant at)
      implements HistoryEvent {}

  /**
   * A task no longer runs on a worker.
   *
   * @param task the task
   * @param attempt the attempt
   * @param worker the worker
   * @param at the time
   */
  record TaskStopped(TaskKey task, int attempt, WorkerId worker, Instant at)
      implements HistoryEvent {}

  /**
   * A configuration became active on a VM.
   *
   * @param vm the VM, regardless of its incarnation
   * @param revision the revision
   * @param at the time
   */
  record ConfigInForce(VmId vm, long revision, Instant at) implements HistoryEvent {}
}
