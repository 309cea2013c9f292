package org.masticspread.state.ownership;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.masticspread.model.id.RackId;
import org.masticspread.model.id.VmId;
import org.masticspread.model.id.VmIncarnation;
import org.masticspread.state.session.SessionRow;
import org.masticspread.state.session.SessionState;
import org.masticspread.state.session.SessionView;

/**
 * Decides in which ticks the shard rows are read: while something is to be done, when the VMs or
 * racks have changed, and else now and then. Not thread-safe.
 */
final class ScanSchedule {
  /**
   * What the wanted owners of shards depend on.
   *
   * @param eligible the VMs that may own shards
   * @param racks the racks
   * @param states the states of all sessions
   */
  private record Inputs(
      Set<VmId> eligible, Set<RackId> racks, Map<VmIncarnation, SessionState> states) {}

  private final int maxTicks;
  private Inputs last;
  private int ticksSinceScan;
  private boolean settled;

  ScanSchedule(int maxTicks) {
    this.maxTicks = maxTicks;
  }

  /** Counts a tick; returns whether it must read the rows. */
  boolean isDue(SessionView sessions, Set<VmId> eligible, Set<RackId> racks) {
    Map<VmIncarnation, SessionState> states = new HashMap<>();
    for (SessionRow session : sessions.sessions().values()) {
      states.put(session.incarnation(), session.state());
    }
    Inputs inputs = new Inputs(Set.copyOf(eligible), Set.copyOf(racks), states);
    settled &= inputs.equals(last);
    last = inputs;
    ticksSinceScan++;
    return !settled || ticksSinceScan >= maxTicks;
  }

  /** Makes the next tick read the rows. */
  void require() {
    settled = false;
  }

  /** Notes whether a scan found nothing to do. */
  void scanned(boolean nothingToDo) {
    settled = nothingToDo;
    ticksSinceScan = 0;
  }
}
