package org.masticspread.state.shard;

import org.masticspread.model.result.ResultCode;

/**
 * The result of {@link WorkShardState#beginJob}.
 *
 * @param kind whether the job is new
 * @param code the result code for the caller; for a new job ACCEPTED, to be returned once the job
 *     is durable
 */
public record BeginJobResult(Kind kind, ResultCode code) {
  /** Whether the job is new. */
  public enum Kind {
    /**
     * The job is new and its id is reserved for this caller, which must append {@code JobAccepted}.
     */
    NEW,
    /** The same job is being accepted for another caller. */
    IN_FLIGHT,
    /** The result is known: return the code. */
    DECIDED
  }
}
