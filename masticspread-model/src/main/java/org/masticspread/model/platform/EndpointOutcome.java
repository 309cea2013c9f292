package org.masticspread.model.platform;

/** How a call to an endpoint ended. */
public enum EndpointOutcome {
  /** The whole answer came. */
  ANSWERED,
  /** The endpoint ran the request and answered with an error. */
  ERROR,
  /** The endpoint refused because all slots are taken; certain not run. */
  BUSY,
  /** No connection could be opened; certain not run. */
  CONNECT_FAILED,
  /** No answer came in time, it was cut, or it belongs to another request; may have run. */
  NO_ANSWER
}
