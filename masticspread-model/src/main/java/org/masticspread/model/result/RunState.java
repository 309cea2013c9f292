package org.masticspread.model.result;

/** Whether the work behind a result ran. */
public enum RunState {
  /** Certain: nothing of it ran. */
  NOT_RUN,
  /** Certain: it ran. */
  RAN,
  /** It may or may not have run. */
  UNKNOWN
}
