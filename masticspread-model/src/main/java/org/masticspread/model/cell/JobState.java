package org.masticspread.model.cell;

/** The state of an accepted job, as callers see it. */
public enum JobState {
  /** No task has started. */
  QUEUED,
  /** A task has started. */
  RUNNING,
  /** Every task has succeeded. */
  SUCCEEDED,
  /** A task has failed as often as its queue allows. */
  FAILED,
  /** Cancelled by its caller. */
  CANCELLED;

  /**
   * Returns whether the state is final.
   *
   * @return whether the job has ended
   */
  public boolean ended() {
    return this == SUCCEEDED || this == FAILED || this == CANCELLED;
  }
}
