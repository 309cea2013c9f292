package org.masticspread.model.peer;

import java.util.List;

/**
 * Answers {@link AskInFlight}.
 *
 * @param endpoints the number of requests in flight at each endpoint
 */
public record InFlight(List<EndpointLoad> endpoints) implements PeerMessage {

  /** Copies the list. */
  public InFlight {
    endpoints = List.copyOf(endpoints);
  }
}
