package org.masticspread.cell.lead;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.masticspread.cell.journal.VmRecord;
import org.masticspread.model.id.VmId;
import org.masticspread.model.peer.Acknowledged;
import org.masticspread.model.peer.LeadCell;
import org.masticspread.model.peer.VmProbe;
import org.masticspread.model.peer.VmStatus;
import org.masticspread.model.result.ResultCode;

/** Finds a VM that takes the cell over from this one. Confined to the VM's thread. */
final class Handover {
  /** Longer than a VM takes for a read of the store that it reaches well. */
  private static final Duration PROBE_TIMEOUT = Duration.ofMillis(400);

  /** An invitation is only taken note of; the takeover itself is seen in the row of the leader. */
  private static final Duration INVITATION_TIMEOUT = Duration.ofMillis(1200);

  /** A VM this much younger has just been restarted, and will not be again soon. */
  private static final Duration YOUNGER = Duration.ofSeconds(2);

  /** A VM that could not write to the store is asked after the others for so long. */
  private static final Duration DECLINED = Duration.ofSeconds(3);

  private final VmPorts ports;
  private final Roster roster;
  private final Leadership leadership;
  private final LongSupplier configVersion;
  private final long startedMillis;
  private final Map<String, Long> declinedMillis = new HashMap<>();

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
                              inviteBest(candidates, reason, mustReachStore);
                            }
                          }));
    }
  }

  private void inviteBest(List<Candidate> candidates, String reason, boolean mustReachStore) {
    long now = ports.clock().millis();
    long up = now - startedMillis;
    declinedMillis.values().removeIf(at -> now - at > DECLINED.toMillis());
    Comparator<Candidate> order =
        Comparator.comparing((Candidate c) -> declinedMillis.getOrDefault(c.vm.vm(), 0L))
            .thenComparing(c -> c.upMillis > up - YOUNGER.toMillis())
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
        .call(
            VmId.of(vm),
            new LeadCell(leadership.epoch(), mustReachStore, reason),
            INVITATION_TIMEOUT)
        .whenComplete(
            (answer, error) ->
                ports.timers().after(Duration.ZERO, () -> invited(vm, answer, error)));
  }

  private void invited(String vm, Object answer, Throwable error) {
    if (error != null) {
      ports.log().event("leader-invitation-failed", vm, "reason", error.getMessage());
    } else if (answer instanceof Acknowledged reply && reply.code() != ResultCode.OK) {
      declinedMillis.put(vm, ports.clock().millis());
    }
  }

  private record Candidate(VmRecord vm, long upMillis) {}
}
