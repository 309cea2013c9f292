package org.masticspread.model.platform;

/** An order to a worker about a running task. */
public enum TaskOrder {
  /** Stops the task. */
  STOP,
  /** Saves the progress of the task, then stops it. */
  CHECKPOINT,
  /** Throttles the task. */
  THROTTLE,
  /** Ends the throttling. */
  UNTHROTTLE
}
