package org.masticspread.model.platform;

import org.masticspread.model.result.MasticspreadException;
import org.masticspread.model.result.ResultCode;

/** A failed call to a worker. */
public final class WorkerException extends MasticspreadException {
  private static final long serialVersionUID = 1L;

  /** Why the call failed. */
  public enum Reason {
    /** The worker has seen a higher rack epoch; nothing was done. */
    STALE_EPOCH,
    /** The start came after its start-before instant; nothing was started. */
    TOO_LATE,
    /** The task would overfill the worker; nothing was started. */
    OVERFULL,
    /** This or a later attempt of the task is known already; nothing was started. */
    DUPLICATE,
    /** No connection could be opened; nothing was sent. */
    UNREACHABLE,
    /** No answer came; the call may have taken effect. */
    NO_ANSWER
  }

  private final Reason reason;

  /**
   * Creates an error.
   *
   * @param reason why the call failed
   * @param message a short sentence
   * @param cause the cause, may be null
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
   * Tells whether it is certain that the call had no effect.
   *
   * @return whether nothing was done
   */
  public boolean isCertainlyNotDone() {
    return reason != Reason.NO_ANSWER;
  }
}
