package org.masticspread.model.work;

/** The phase of a job. */
public enum JobPhase {
  /** Durably accepted; no task is running. */
  WAITING,
  /** At least one task is running or has ended. */
  RUNNING,
  /** Fails on all workers or fits on none; requires an operator. */
  PARKED,
  /** All tasks have succeeded. */
  SUCCEEDED,
  /** A task has failed permanently. */
  FAILED,
  /** Cancelled. */
  CANCELLED,
  /** A task that must run at most once has an unknown outcome. */
  UNKNOWN;

  /**
   * Returns whether the job has ended.
   *
   * @return whether this phase is final
   */
  public boolean isTerminal() {
    return this == SUCCEEDED || this == FAILED || this == CANCELLED || this == UNKNOWN;
  }
}
