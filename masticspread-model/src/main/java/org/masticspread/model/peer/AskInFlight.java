package org.masticspread.model.peer;

import java.util.List;
import org.masticspread.model.id.EndpointId;

/**
 * Asks a former home for its requests in flight at endpoints. Answered by {@link InFlight}.
 *
 * @param endpoints the endpoints
 */
public record AskInFlight(List<EndpointId> endpoints) implements PeerMessage {

  /** Copies the list. */
  public AskInFlight {
    endpoints = List.copyOf(endpoints);
  }
}
