package org.masticspread.model.config;

/** Whether an endpoint or a worker gets new work. */
public enum EndpointState {
  /** Gets new work. */
  ACTIVE,
  /** Gets no new work; work in flight ends. */
  LEAVING,
  /** Is gone. */
  RETIRED
}
