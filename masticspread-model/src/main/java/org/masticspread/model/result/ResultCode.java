package org.masticspread.model.result;

/**
 * The result codes shown to callers and operators, each with a stable number.
 *
 * <p>Only codes whose {@link #runState()} is {@link RunState#NOT_RUN} state that work did not run.
 * They must be returned only if this is certain.
 */
public enum ResultCode {
  /** The request ran and its complete answer is included. */
  OK(0, 200, RunState.RAN, false),
  /** The job is durably accepted and will run. */
  ACCEPTED(1, 202, RunState.NOT_RUN, false),
  /** The same job was accepted before; nothing changed. */
  ALREADY_ACCEPTED(2, 200, RunState.NOT_RUN, false),
  /** The work was cancelled before it ran. */
  CANCELLED(3, 200, RunState.NOT_RUN, false),
  /** A field of the input is invalid; the detail names the field. */
  INVALID_FIELD(100, 400, RunState.NOT_RUN, false),
  /** The bearer token is missing or unknown. */
  UNAUTHORIZED(101, 401, RunState.NOT_RUN, false),
  /** The token does not permit the call. */
  FORBIDDEN(102, 403, RunState.NOT_RUN, false),
  /** Nothing of that name exists. */
  NOT_FOUND(103, 404, RunState.NOT_RUN, false),
  /** A concurrent change came first; the detail describes it. */
  CONFLICT(104, 409, RunState.NOT_RUN, false),
  /** A body, header or name exceeds its limit. */
  TOO_LARGE(105, 413, RunState.NOT_RUN, false),
  /** The id was used before with other content. */
  ID_REUSED(106, 409, RunState.NOT_RUN, false),
  /** The deadline or answer-by time has passed. */
  DEADLINE_PASSED(107, 422, RunState.NOT_RUN, false),
  /** No worker is large enough, even when empty. */
  FITS_NOWHERE(108, 422, RunState.NOT_RUN, false),
  /** The job is larger than the quota of its team. */
  QUOTA_EXCEEDED(109, 422, RunState.NOT_RUN, false),
  /** The request could not be served in time and was shed before it was sent. */
  OVERLOADED(200, 503, RunState.NOT_RUN, true),
  /** The queue of its work class is full. */
  QUEUE_FULL(201, 503, RunState.NOT_RUN, true),
  /** The store could not write the record in time. */
  STORE_UNAVAILABLE(202, 503, RunState.NOT_RUN, true),
  /** No endpoint could accept the request. */
  NO_ENDPOINT(203, 503, RunState.NOT_RUN, true),
  /** This VM is stopping; retry at another VM. */
  STOPPING(204, 503, RunState.NOT_RUN, true),
  /** The shard has moved to another VM; retry. */
  NOT_OWNER(205, 503, RunState.NOT_RUN, true),
  /** No connection could be opened; nothing was sent. */
  CONNECT_FAILED(206, 503, RunState.NOT_RUN, true),
  /** The endpoint ran the request and answered with an error. */
  ENDPOINT_ERROR(300, 502, RunState.RAN, false),
  /** A task ran and failed. */
  TASK_FAILED(301, 200, RunState.RAN, false),
  /** The work may have run; retry only if it is idempotent. */
  OUTCOME_UNKNOWN(400, 504, RunState.UNKNOWN, false),
  /**
   * The id is older than the retention of its record; it was not run now, but may have run before.
   */
  RECORD_EXPIRED(401, 410, RunState.UNKNOWN, false),
  /** An internal error of masticspread; the outcome is unknown. */
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
   * Returns the number, which is stable across releases.
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
   * Returns whether the work ran.
   *
   * @return the run state
   */
  public RunState runState() {
    return runState;
  }

  /**
   * Returns whether the same work may be retried, at once or after the retry-after time.
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
    throw new IllegalArgumentException("number: " + number + " is not a result code");
  }
}
