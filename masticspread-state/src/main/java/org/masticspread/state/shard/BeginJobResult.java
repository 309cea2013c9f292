package org.masticspread.state.shard;

import org.masticspread.model.result.ResultCode;

/**
 * What a shard knows of a job that a caller submits.
 *
 * @param kind whether it is new
 * @param code the code to answer; ACCEPTED for a new job, once it is durable
 */
public record BeginJobResult(Kind kind, ResultCode code) {
  /** Whether a job is new. */
  public enum Kind {
    /** New, and now held for this caller: append {@code JobAccepted}. */
    NEW,
    /** The same job is being accepted: wait for it. */
    IN_FLIGHT,
    /** Known: answer the code. */
    DECIDED
  }
}
