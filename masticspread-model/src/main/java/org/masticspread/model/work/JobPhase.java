package org.masticspread.model.work;

/** The phases of a job. */
public enum JobPhase {
  /** Durably accepted; no task runs. */
  WAITING,
  /** At least one task runs or has ended. */
  RUNNING,
  /** Fails everywhere or fits nowhere; waits for an operator. */
  PARKED,
  /** All tasks ended well. */
  SUCCEEDED,
  /** A task failed for good. */
  FAILED,
  /** Was cancelled. */
  CANCELLED,
  /** A task at most once has an unknown outcome. */
  UNKNOWN;

  /**
   * Tells whether the job has ended.
   *
   * @return whether no further phase follows
   */
  public boolean isTerminal() {
    return this == SUCCEEDED || this == FAILED || this == CANCELLED || this == UNKNOWN;
  }
}
