package org.masticspread.ctl.client;

import java.time.Duration;
import org.masticspread.model.result.ResultCode;
import org.masticspread.model.result.RunState;
import org.masticspread.model.work.JobView;

/**
 * What became of a request, a job or a change.
 *
 * @param code the number of the result code
 * @param name the name of the result code
 * @param runState whether the work ran
 * @param team the team; null when the node did not read it
 * @param id the id of the request or job; null when the node did not read it
 * @param body the whole answer; null when there is none
 * @param detail a short sentence
 * @param retryAfterMs how long to wait before a repeat, in milliseconds; null when not told
 * @param field the wrong field of the input; null when none is
 * @param job the job; null when there is none
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
   * Returns a result that the client found itself.
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
   * Returns the result code. A number that this version does not know counts as {@link
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
   * Tells whether a repeat under the same id is safe and useful: the node says that the work did
   * not run, and its code is one to retry.
   *
   * @return whether to retry
   */
  public boolean isRetryable() {
    return runState == RunState.NOT_RUN && resultCode().isRetryable();
  }

  /**
   * Returns how long to wait before a repeat.
   *
   * @return the time; zero when not told
   */
  public Duration retryAfter() {
    return retryAfterMs == null ? Duration.ZERO : Duration.ofMillis(Math.max(0, retryAfterMs));
  }
}
