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

/** Invites another VM to take the cell over from this one. Confined to the VM's thread. */
final class Handover {
  /** Longer than a read takes for a VM with a good connection to the store. */
  private static final Duration PROBE_TIMEOUT = Duration.ofMillis(400);

  /** The invited VM answers before it takes over; the leader row shows the takeover itself. */
  private static final Duration INVITATION_TIMEOUT = Duration.ofMillis(1200);

  /** A VM that started this much later than this one was restarted and will not stop again soon. */
  private static final Duration RESTART_AGE_GAP = Duration.ofSeconds(2);

  /** How long a VM that declined, unable to write to the store, ranks behind the others. */
  private static final Duration DECLINED_PENALTY = Duration.ofSeconds(3);

  private final VmPorts ports;
  private final Membership membership;
  private final LeaderElection election;
  private final LongSupplier configVersion;
  private final long startedMillis;
  private final Map<String, Long> declinedMillis = new HashMap<>();

  Handover(
      VmPorts ports, Membership membership, LeaderElection election, LongSupplier configVersion) {
    this.ports = ports;
    this.membership = membership;
    this.election = election;
    this.configVersion = configVersion;
    this.startedMillis = ports.clock().millis();
  }

  /**
   * Probes the other VMs and invites the best to take over. VMs that declined recently come last.
   * Among the others, VMs in the region of the store come first; then those that were restarted
   * later than this one, as in a rolling restart they will not stop again soon; then the strongest.
   */
  void invite(String reason, boolean mustReachStore) {
    List<VmRecord> others = membership.others();
    List<Candidate> candidates = new ArrayList<>();
    int[] pending = {others.size()};
    VmProbe probe = new VmProbe(mustReachStore, false, election.epoch(), configVersion.getAsLong());
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
                              election.learnLeader(status);
                            }
                            if (answer instanceof VmStatus status
                                && !status.stopping()
                                && (status.storeReached() || !mustReachStore)) {
                              candidates.add(new Candidate(other, status.upMillis()));
                            }
                            if (--pending[0] == 0) {
                              inviteBest(candidates, reason, mustReachStore);
                            }
                          }));
    }
  }

  private void inviteBest(List<Candidate> candidates, String reason, boolean mustReachStore) {
    long now = ports.clock().millis();
    long ownUpMillis = now - startedMillis;
    declinedMillis.values().removeIf(at -> now - at > DECLINED_PENALTY.toMillis());
    Comparator<Candidate> order =
        Comparator.comparing((Candidate c) -> declinedMillis.getOrDefault(c.vm.vm(), 0L))
            .thenComparing(Candidate::vm, membership.farLast())
            .thenComparing(c -> c.upMillis > ownUpMillis - RESTART_AGE_GAP.toMillis())
            .thenComparing(Candidate::vm, membership.leaderOrder());
    Optional<Candidate> best = candidates.stream().min(order);
    if (best.isEmpty() || !election.leading()) {
      ports.log().event("leader-invitation-none", membership.self().vm(), "reason", reason);
      return;
    }
    String vm = best.get().vm.vm();
    ports.log().event("leader-invited", vm, "reason", reason, "epoch", election.epoch());
    ports
        .peers()
        .call(
            VmId.of(vm), new LeadCell(election.epoch(), mustReachStore, reason), INVITATION_TIMEOUT)
        .whenComplete(
            (answer, error) ->
                ports.timers().after(Duration.ZERO, () -> onInvitationResult(vm, answer, error)));
  }

  private void onInvitationResult(String vm, Object answer, Throwable error) {
    if (error != null) {
      ports.log().event("leader-invitation-failed", vm, "reason", error.getMessage());
    } else if (answer instanceof Acknowledged reply && reply.code() != ResultCode.OK) {
      declinedMillis.put(vm, ports.clock().millis());
    }
  }

  private record Candidate(VmRecord vm, long upMillis) {}
}
