package org.masticspread.model.platform;

import java.util.List;
import org.masticspread.model.id.EndpointId;
import org.masticspread.model.id.WorkerId;

/**
 * What the platform's membership list says; it lags.
 *
 * @param members the live entry VMs
 * @param leavingEndpoints endpoints that are leaving
 * @param goneEndpoints endpoints that are gone
 * @param goneWorkers workers that are gone
 */
public record MembershipView(
    List<Member> members,
    List<EndpointId> leavingEndpoints,
    List<EndpointId> goneEndpoints,
    List<WorkerId> goneWorkers) {

  /** Copies the lists. */
  public MembershipView {
    members = List.copyOf(members);
    leavingEndpoints = List.copyOf(leavingEndpoints);
    goneEndpoints = List.copyOf(goneEndpoints);
    goneWorkers = List.copyOf(goneWorkers);
  }
}
