package org.masticspread.model.config;

/** The state of an endpoint or a worker, which decides whether it gets new work. */
public enum EndpointState {
  /** Accepts new work. */
  ACTIVE,
  /** Accepts no new work; work in flight completes. */
  LEAVING,
  /** Removed from service. */
  RETIRED
}
