package org.masticspread.model.peer;

import org.masticspread.model.cell.JobState;

/**
 * The result of a {@link CellCall}.
 *
 * @param outcome the outcome of the call
 * @param state the state of the job; null if there is none
 * @param waiting the number of waiting jobs; 0 unless a count was requested
 * @param retryAfterMillis the time to wait before retrying a refused call; otherwise 0
 * @param detail a description, as a short sentence
 * @param configVersion the version of the configuration by which the call was decided; 0 if unknown
 */
public record CellReply(
    Outcome outcome,
    JobState state,
    int waiting,
    int retryAfterMillis,
    String detail,
    long configVersion)
    implements PeerMessage {

  /**
   * Creates a reply without the version of the configuration.
   *
   * @param outcome the outcome of the call
   * @param state the state of the job; null if there is none
   * @param waiting the number of waiting jobs; 0 unless a count was requested
   * @param retryAfterMillis the time to wait before retrying a refused call; otherwise 0
   * @param detail a description, as a short sentence
   */
  public CellReply(
      Outcome outcome, JobState state, int waiting, int retryAfterMillis, String detail) {
    this(outcome, state, waiting, retryAfterMillis, detail, 0);
  }

  /**
   * Returns a copy that names the configuration by which the call was decided.
   *
   * @param version the version of the configuration
   * @return the copy
   */
  public CellReply decidedBy(long version) {
    return new CellReply(outcome, state, waiting, retryAfterMillis, detail, version);
  }

  /** The outcome of a call. */
  public enum Outcome {
    /** The job is stored and will run. */
    ACCEPTED,
    /** The job was not accepted and never runs. */
    REFUSED,
    /** The state of the job is returned. */
    SHOWN,
    /** The job was cancelled or had already ended. */
    CANCELLED,
    /** The count is returned. */
    COUNTED,
    /** No job of that id was accepted. */
    UNKNOWN_JOB,
    /** The job belongs to another team; nothing was done. */
    FORBIDDEN,
    /** The configuration has no such queue; nothing was done. */
    UNKNOWN_QUEUE,
    /** This VM does not lead the cell; nothing was done. */
    NOT_LEADING,
    /** The call may or may not have taken effect. */
    UNCERTAIN;

    /**
     * Returns whether this outcome states the actual effect of the call, not only that this VM did
     * nothing.
     *
     * @return whether the outcome is valid regardless of which VM returned it
     */
    public boolean isAuthoritative() {
      return this == ACCEPTED || this == SHOWN || this == CANCELLED || this == FORBIDDEN;
    }
  }

  /**
   * Creates a reply without job state, count or retry time.
   *
   * @param outcome the outcome
   * @param detail a description, as a short sentence
   * @return the reply
   */
  public static CellReply of(Outcome outcome, String detail) {
    return new CellReply(outcome, null, 0, 0, detail);
  }
}
