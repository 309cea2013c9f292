package org.masticspread.cell.lead;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.masticspread.cell.journal.VmRecord;
import org.masticspread.model.id.VmId;
import org.masticspread.model.peer.LeadCell;
import org.masticspread.model.peer.VmProbe;
import org.masticspread.model.peer.VmStatus;

/** Finds a VM that takes the cell over from this one. Confined to the VM's thread. */
final class Handover {
  /** Longer than a VM takes for a read of the store that it reaches well. */
  private static final Duration PROBE_TIMEOUT = Duration.ofMillis(400);

  /** An invitation is only taken note of; the takeover itself is seen in the row of the leader. */
  private static final Duration INVITATION_TIMEOUT = Duration.ofMillis(1200);

  /** A VM this much younger has just been restarted, and will not be again soon. */
  private static final Duration YOUNGER = Duration.ofSeconds(2);

  private final VmPorts ports;
  private final Roster roster;
  private final Leadership leadership;
  private final LongSupplier configVersion;
  private final long startedMillis;

  Handover(VmPorts ports, Roster roster, Leadership leadership, LongSupplier configVersion) {
    this.ports = ports;
    this.roster = roster;
    this.leadership = leadership;
    this.configVersion = configVersion;
    this.startedMillis = ports.clock().millis();
  }

  /** Looks for a VM that takes over; prefers strong ones, and just restarted ones on a stop. */
  void invite(String reason, boolean mustReachStore) {
    List<VmRecord> others = roster.others();
    List<Candidate> candidates = new ArrayList<>();
    int[] open = {others.size()};
    VmProbe probe =
        new VmProbe(mustReachStore, false, leadership.epoch(), configVersion.getAsLong());
    for (VmRecord other : others) {
      ports
          .peers()
          .call(VmId.of(other.vm()), probe, PROBE_TIMEOUT)
          .whenComplete(
              (answer, error) ->
                  ports
                      .timers()
                      .after(
                          Duration.ZERO,
                          () -> {
                            if (answer instanceof VmStatus status) {
                              leadership.hear(status);
                            }
                            if (answer instanceof VmStatus status
                                && !status.stopping()
                                && (status.storeReached() || !mustReachStore)) {
                              candidates.add(new Candidate(other, status.upMillis()));
                            }
                            if (--open[0] == 0) {
                              inviteBest(candidates, reason);
                            }
                          }));
    }
  }

  private void inviteBest(List<Candidate> candidates, String reason) {
    long up = ports.clock().millis() - startedMillis;
    Comparator<Candidate> order =
        Comparator.comparing((Candidate c) -> c.upMillis > up - YOUNGER.toMillis())
            .thenComparing(c -> -c.vm.strength())
            .thenComparing(c -> c.vm.vm());
    Optional<Candidate> best = candidates.stream().min(order);
    if (best.isEmpty() || !leadership.leading()) {
      ports.log().event("leader-invitation-none", roster.self().vm(), "reason", reason);
      return;
    }
    String vm = best.get().vm.vm();
    ports.log().event("leader-invited", vm, "reason", reason, "epoch", leadership.epoch());
    ports
        .peers()
        .call(VmId.of(vm), new LeadCell(leadership.epoch(), reason), INVITATION_TIMEOUT)
        .whenComplete(
            (answer, error) -> {
              if (error != null) {
                ports.log().event("leader-invitation-failed", vm, "reason", error.getMessage());
              }
            });
  }

  private record Candidate(VmRecord vm, long upMillis) {}
}
