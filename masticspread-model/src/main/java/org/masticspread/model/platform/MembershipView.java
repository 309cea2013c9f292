package org.masticspread.model.platform;

import java.util.List;
import org.masticspread.model.id.EndpointId;
import org.masticspread.model.id.WorkerId;

/**
 * A snapshot of the membership list of the platform, which may be out of date.
 *
 * @param members the live entry VMs
 * @param leavingEndpoints endpoints that are leaving
 * @param goneEndpoints endpoints that no longer exist
 * @param goneWorkers workers that no longer exist
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
