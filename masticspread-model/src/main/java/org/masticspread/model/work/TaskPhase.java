package org.masticspread.model.work;

/** The phases of a task. */
public enum TaskPhase {
  /** Waits for a worker. */
  WAITING,
  /** Was sent to a rack owner, whose answer is outstanding. */
  PLACING,
  /** Runs on a worker under a lease. */
  RUNNING,
  /** Ended well. */
  SUCCEEDED,
  /** Ended badly, with no attempt left. */
  FAILED,
  /** Was cancelled. */
  CANCELLED,
  /** May or may not have run; is not tried again. */
  UNKNOWN;

  /**
   * Tells whether the task has ended.
   *
   * @return whether no further phase follows
   */
  public boolean isTerminal() {
    return this == SUCCEEDED || this == FAILED || this == CANCELLED || this == UNKNOWN;
  }
}
