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
 * Decides in which ticks the shard rows are read: while work is pending, when the VMs or racks have
 * changed, and otherwise after a maximum number of ticks. Not thread-safe.
 */
final class ScanSchedule {
  /**
   * The inputs that determine the desired owners of shards.
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
  private boolean converged;

  ScanSchedule(int maxTicks) {
    this.maxTicks = maxTicks;
  }

  /** Counts a tick and returns whether the rows must be read in it. */
  boolean isDue(SessionView sessions, Set<VmId> eligible, Set<RackId> racks) {
    Map<VmIncarnation, SessionState> states = new HashMap<>();
    for (SessionRow session : sessions.sessions().values()) {
      states.put(session.incarnation(), session.state());
    }
    Inputs inputs = new Inputs(Set.copyOf(eligible), Set.copyOf(racks), states);
    converged &= inputs.equals(last);
    last = inputs;
    ticksSinceScan++;
    return !converged || ticksSinceScan >= maxTicks;
  }

  /** Forces a scan in the next tick. */
  void requireScan() {
    converged = false;
  }

  /** Records that the rows were scanned and whether nothing was to be done. */
  void recordScan(boolean nothingToDo) {
    converged = nothingToDo;
    ticksSinceScan = 0;
  }
}
