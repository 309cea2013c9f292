package org.masticspread.model.platform;

/** The outcome of a call to an endpoint. */
public enum EndpointOutcome {
  /** The complete answer was received. */
  ANSWERED,
  /** The endpoint ran the request and answered with an error. */
  ERROR,
  /** The endpoint refused because all its slots are occupied; the request certainly did not run. */
  BUSY,
  /** No connection could be opened; the request certainly did not run. */
  CONNECT_FAILED,
  /** The answer was late, truncated or for another request; the request may have run. */
  NO_ANSWER
}
