package org.masticspread.model.platform;

/** The phases of a task on a worker. */
public enum WorkerTaskPhase {
  /** Running. */
  RUNNING,
  /** Succeeded; kept until acknowledged. */
  SUCCEEDED,
  /** Failed; kept until acknowledged. */
  FAILED,
  /** Stopped by an order; kept until acknowledged. */
  STOPPED,
  /** Stopped because its lease expired; kept until acknowledged. */
  LAPSED
}
