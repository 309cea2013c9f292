package org.masticspread.model.platform;

import org.masticspread.model.result.MasticspreadException;
import org.masticspread.model.result.ResultCode;

/** Thrown when a call to a worker fails. */
public final class WorkerException extends MasticspreadException {
  private static final long serialVersionUID = 1L;

  /** The reason why a call failed. */
  public enum Reason {
    /** The worker has seen a higher rack epoch; nothing was done. */
    STALE_EPOCH,
    /** The start arrived after its start-before instant; nothing was started. */
    TOO_LATE,
    /** The task would exceed the capacity of the worker; nothing was started. */
    OVERFULL,
    /** This or a later attempt of the task is already known; nothing was started. */
    DUPLICATE,
    /** No connection could be opened; nothing was sent. */
    UNREACHABLE,
    /** No answer was received; the call may have taken effect. */
    NO_ANSWER
  }

  private final Reason reason;

  /**
   * Creates an exception.
   *
   * @param reason the reason
   * @param message the detail message
   * @param cause the cause; may be null
   */
  public WorkerException(Reason reason, String message, Throwable cause) {
    super(
        reason == Reason.NO_ANSWER ? ResultCode.OUTCOME_UNKNOWN : ResultCode.NOT_OWNER,
        message,
        cause);
    this.reason = reason;
  }

  /**
   * Returns why the call failed.
   *
   * @return the reason
   */
  public Reason reason() {
    return reason;
  }

  /**
   * Returns whether the call certainly had no effect.
   *
   * @return true if it certainly had no effect, false if it may have taken effect
   */
  public boolean isCertainlyNotDone() {
    return reason != Reason.NO_ANSWER;
  }
}
