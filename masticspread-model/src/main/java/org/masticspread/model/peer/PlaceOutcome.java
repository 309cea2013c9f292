package org.masticspread.model.peer;

/** What became of a task that a rack owner was asked to start. */
public enum PlaceOutcome {
  /** It runs on a worker. */
  STARTED,
  /** No worker of the rack has room; certain not started. */
  NO_ROOM,
  /** The epoch of the work shard is stale; certain not started. */
  STALE,
  /** It may have started; it counts as running until a report or a lapsed lease tells. */
  UNKNOWN
}
