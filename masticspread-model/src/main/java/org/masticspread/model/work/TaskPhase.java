package org.masticspread.model.work;

/** The phase of a task. */
public enum TaskPhase {
  /** Waiting for a worker. */
  WAITING,
  /** Sent to a rack owner, whose answer is outstanding. */
  PLACING,
  /** Running on a worker under a lease. */
  RUNNING,
  /** Succeeded. */
  SUCCEEDED,
  /** Failed, with no attempt left. */
  FAILED,
  /** Cancelled. */
  CANCELLED,
  /** May or may not have run; not retried. */
  UNKNOWN;

  /**
   * Returns whether the task has ended.
   *
   * @return whether this phase is final
   */
  public boolean isTerminal() {
    return this == SUCCEEDED || this == FAILED || this == CANCELLED || this == UNKNOWN;
  }
}
