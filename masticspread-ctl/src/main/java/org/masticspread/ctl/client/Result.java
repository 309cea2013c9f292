package org.masticspread.ctl.client;

import java.time.Duration;
import org.masticspread.model.result.ResultCode;
import org.masticspread.model.result.RunState;
import org.masticspread.model.work.JobView;

/**
 * The result of a request, a job or a change.
 *
 * @param code the number of the result code
 * @param name the name of the result code
 * @param runState whether the work ran
 * @param team the team; null if the node could not read it from the input
 * @param id the id of the request or job; null if the node could not read it from the input
 * @param body the complete answer; null if there is none
 * @param detail the reason or other details in a short sentence
 * @param retryAfterMs the delay before a retry in milliseconds; null if unspecified
 * @param field the invalid field of the input; null if there is none
 * @param job the job; null if there is none
 */
public record Result(
    int code,
    String name,
    RunState runState,
    String team,
    String id,
    String body,
    String detail,
    Long retryAfterMs,
    String field,
    JobView job) {

  /**
   * Returns a result that the client determines without an answer of a node.
   *
   * @param code the result code
   * @param team the team, may be null
   * @param id the id, may be null
   * @param detail a short sentence
   * @return the result
   */
  public static Result of(ResultCode code, String team, String id, String detail) {
    return new Result(
        code.number(), code.name(), code.runState(), team, id, null, detail, null, null, null);
  }

  /**
   * Returns the result code. A number that this version does not know is mapped to {@link
   * ResultCode#OUTCOME_UNKNOWN}.
   *
   * @return the code
   */
  public ResultCode resultCode() {
    try {
      return ResultCode.ofNumber(code);
    } catch (IllegalArgumentException e) {
      return ResultCode.OUTCOME_UNKNOWN;
    }
  }

  /**
   * Returns whether a retry under the same id is safe and useful: the node reports that the work
   * did not run, and the result code is retryable.
   *
   * @return true if the call can be retried
   */
  public boolean isRetryable() {
    return runState == RunState.NOT_RUN && resultCode().isRetryable();
  }

  /**
   * Returns the delay before a retry.
   *
   * @return the delay; zero if unspecified
   */
  public Duration retryAfter() {
    return retryAfterMs == null ? Duration.ZERO : Duration.ofMillis(Math.max(0, retryAfterMs));
  }
}
