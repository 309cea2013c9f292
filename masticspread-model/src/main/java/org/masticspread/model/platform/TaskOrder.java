package org.masticspread.model.platform;

/** What a worker is told to do with a running task. */
public enum TaskOrder {
  /** Stop it. */
  STOP,
  /** Save its progress, then stop it. */
  CHECKPOINT,
  /** Run it slower. */
  THROTTLE,
  /** Run it at full speed again. */
  UNTHROTTLE
}
