package org.masticspread.model.peer;

/** The outcome of asking a rack owner to start a task. */
public enum PlaceOutcome {
  /** The task runs on a worker. */
  STARTED,
  /** No worker of the rack has room; the task was certainly not started. */
  NO_ROOM,
  /** The epoch of the work shard is stale; the task was certainly not started. */
  STALE,
  /** The task may have started; it counts as running until a report or an expired lease. */
  UNKNOWN
}
