package org.masticspread.model.platform;

/** The phases of a task on a worker. */
public enum WorkerTaskPhase {
  /** Runs. */
  RUNNING,
  /** Ended well; kept until acknowledged. */
  SUCCEEDED,
  /** Ended badly; kept until acknowledged. */
  FAILED,
  /** Was stopped by an order; kept until acknowledged. */
  STOPPED,
  /** Was stopped because its lease lapsed; kept until acknowledged. */
  LAPSED
}
