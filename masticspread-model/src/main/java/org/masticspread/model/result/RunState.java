package org.masticspread.model.result;

/** Whether the work that a result refers to has run. */
public enum RunState {
  /** The work certainly did not run. */
  NOT_RUN,
  /** The work certainly ran. */
  RAN,
  /** The work may or may not have run. */
  UNKNOWN
}
