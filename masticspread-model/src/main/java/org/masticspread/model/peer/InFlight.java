package org.masticspread.model.peer;

import java.util.List;

/**
 * Answers {@link AskInFlight}.
 *
 * @param endpoints the requests in flight
 */
public record InFlight(List<EndpointLoad> endpoints) implements PeerMessage {

  /** Copies the lists. */
  public InFlight {
    endpoints = List.copyOf(endpoints);
  }
}
