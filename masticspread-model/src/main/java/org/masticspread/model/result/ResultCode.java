package org.masticspread.model.result;

/**
 * Numbered outcomes, as callers and operators see them.
 *
 * <p>Only codes whose {@link #runState()} is {@link RunState#NOT_RUN} say that work did not run,
 * and only code that holds proof may return them.
 */
public enum ResultCode {
  /** It ran and its whole answer is here. */
  OK(0, 200, RunState.RAN, false),
  /** A job is durably accepted and will run. */
  ACCEPTED(1, 202, RunState.NOT_RUN, false),
  /** The same job was accepted before; nothing was added. */
  ALREADY_ACCEPTED(2, 200, RunState.NOT_RUN, false),
  /** It was cancelled before it ran. */
  CANCELLED(3, 200, RunState.NOT_RUN, false),
  /** A field of the input is wrong; the detail names it. */
  INVALID_FIELD(100, 400, RunState.NOT_RUN, false),
  /** The bearer token is missing or unknown. */
  UNAUTHORIZED(101, 401, RunState.NOT_RUN, false),
  /** The token does not allow this. */
  FORBIDDEN(102, 403, RunState.NOT_RUN, false),
  /** There is nothing of that name. */
  NOT_FOUND(103, 404, RunState.NOT_RUN, false),
  /** Another change came first; the detail shows it. */
  CONFLICT(104, 409, RunState.NOT_RUN, false),
  /** A body, header or name is over its limit. */
  TOO_LARGE(105, 413, RunState.NOT_RUN, false),
  /** The id was used before with different content. */
  ID_REUSED(106, 409, RunState.NOT_RUN, false),
  /** The deadline or answer-by time has passed. */
  DEADLINE_PASSED(107, 422, RunState.NOT_RUN, false),
  /** No worker is large enough, whatever runs there. */
  FITS_NOWHERE(108, 422, RunState.NOT_RUN, false),
  /** It is larger than the quota of its team. */
  QUOTA_EXCEEDED(109, 422, RunState.NOT_RUN, false),
  /** It could not be served in time; shed before it was sent. */
  OVERLOADED(200, 503, RunState.NOT_RUN, true),
  /** The queue of its work class is full. */
  QUEUE_FULL(201, 503, RunState.NOT_RUN, true),
  /** The store could not take the record in time. */
  STORE_UNAVAILABLE(202, 503, RunState.NOT_RUN, true),
  /** No endpoint could take it. */
  NO_ENDPOINT(203, 503, RunState.NOT_RUN, true),
  /** This VM is stopping; another one can take it. */
  STOPPING(204, 503, RunState.NOT_RUN, true),
  /** The shard moved; ask again. */
  NOT_OWNER(205, 503, RunState.NOT_RUN, true),
  /** No connection could be opened; nothing was sent. */
  CONNECT_FAILED(206, 503, RunState.NOT_RUN, true),
  /** The endpoint ran it and answered with an error. */
  ENDPOINT_ERROR(300, 502, RunState.RAN, false),
  /** A task ran and failed. */
  TASK_FAILED(301, 200, RunState.RAN, false),
  /** It may have run; do not repeat unless it is idempotent. */
  OUTCOME_UNKNOWN(400, 504, RunState.UNKNOWN, false),
  /**
   * The id is older than the time its record is kept; it was not run now, but may have run before.
   */
  RECORD_EXPIRED(401, 410, RunState.UNKNOWN, false),
  /** A fault in masticspread; the outcome is not known. */
  INTERNAL_ERROR(402, 500, RunState.UNKNOWN, false);

  private final int number;
  private final int httpStatus;
  private final RunState runState;
  private final boolean retryable;

  ResultCode(int number, int httpStatus, RunState runState, boolean retryable) {
    this.number = number;
    this.httpStatus = httpStatus;
    this.runState = runState;
    this.retryable = retryable;
  }

  /**
   * Returns the number, stable across releases.
   *
   * @return the number
   */
  public int number() {
    return number;
  }

  /**
   * Returns the HTTP status that carries this code.
   *
   * @return the status
   */
  public int httpStatus() {
    return httpStatus;
  }

  /**
   * Tells whether the work ran.
   *
   * @return the run state
   */
  public RunState runState() {
    return runState;
  }

  /**
   * Tells whether a repeat of the same work may be sent at once or after the retry-after time.
   *
   * @return whether a retry is safe and useful
   */
  public boolean isRetryable() {
    return retryable;
  }

  /**
   * Returns the code with the given number.
   *
   * @param number the number
   * @return the code
   * @throws IllegalArgumentException if no code has this number
   */
  public static ResultCode ofNumber(int number) {
    for (ResultCode code : values()) {
      if (code.number == number) {
        return code;
      }
    }
    throw new IllegalArgumentException("number: " + number + " is no result code");
  }
}
