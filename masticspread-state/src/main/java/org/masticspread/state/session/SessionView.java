package org.masticspread.state.session;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.masticspread.model.id.VmId;
import org.masticspread.model.id.VmIncarnation;
import org.masticspread.model.platform.Member;
import org.masticspread.model.platform.MembershipView;

/**
 * The session rows as of one scan.
 *
 * @param sessions the rows by incarnation
 */
public record SessionView(Map<VmIncarnation, SessionRow> sessions) {
  /** No sessions. */
  public static final SessionView EMPTY = new SessionView(Map.of());

  /** Copies the map. */
  public SessionView {
    sessions = Map.copyOf(sessions);
  }

  /**
   * Returns the state of a session.
   *
   * @param incarnation the incarnation
   * @return the state, or empty if its row is absent
   */
  public Optional<SessionState> state(VmIncarnation incarnation) {
    return Optional.ofNullable(sessions.get(incarnation)).map(SessionRow::state);
  }

  /**
   * Returns the VMs with an open session.
   *
   * @return the VMs in order
   */
  public Set<VmId> openVms() {
    Set<VmId> open = new TreeSet<>();
    for (SessionRow row : sessions.values()) {
      if (row.state() == SessionState.OPEN) {
        open.add(row.incarnation().vm());
      }
    }
    return open;
  }

  /**
   * Returns the VMs that may own shards: those with an open session that are not leaving. Liveness
   * is decided by the sessions; the membership list may lag and is used only to find the VMs that
   * are leaving.
   *
   * @param membership the membership list
   * @return the VMs in order
   */
  public Set<VmId> eligibleVms(MembershipView membership) {
    Set<VmId> eligible = openVms();
    for (Member member : membership.members()) {
      if (member.leaving()) {
        eligible.remove(member.vm());
      }
    }
    return eligible;
  }
}
