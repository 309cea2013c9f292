package org.masticspread.cell.gateway;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.masticspread.cell.journal.LeaderRecord;
import org.masticspread.cell.lead.Vm;
import org.masticspread.cell.lead.VmPorts;
import org.masticspread.model.id.VmId;
import org.masticspread.model.peer.CellCall;
import org.masticspread.model.peer.CellReply;
import org.masticspread.model.peer.CellReply.Outcome;
import org.masticspread.model.peer.PeerException;

/**
 * Carries calls to the leader, and again to the next one when the leader changes meanwhile. A call
 * about a job can be repeated: its id makes it the same job.
 *
 * <p>A refusal is told as certain only if no earlier attempt of the call may have been accepted.
 */
public final class Gateway {
  /** An attempt that takes longer is made again: the leader may be gone or cut off. */
  private static final Duration ATTEMPT = Duration.ofMillis(1200);

  /**
   * A call that reached no leader after this is given back, so that its caller can try another VM:
   * a change of the leader takes about a second. One that may have been taken goes on, since its
   * caller could not be told that it was not.
   */
  private static final Duration LONGEST_SEARCH = Duration.ofMillis(1400);

  /** Between two attempts while no VM leads. */
  private static final Duration PAUSE = Duration.ofMillis(40);

  /** When to come back after the cell had no leader. */
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final VmPorts ports;
  private final Vm vm;

  /**
   * Creates a gateway.
   *
   * @param ports what the VM works with
   * @param vm the VM
   */
  public Gateway(VmPorts ports, Vm vm) {
    this.ports = ports;
    this.vm = vm;
  }

  /**
   * Carries a call.
   *
   * @param call the call
   * @param patience how long the caller waits
   * @param reply gets the final answer: {@link Outcome#UNCERTAIN} or {@link Outcome#REFUSED} when
   *     none came in time
   */
  public void carry(CellCall call, Duration patience, Consumer<CellReply> reply) {
    long now = ports.clock().millis();
    long search = Math.min(patience.toMillis(), LONGEST_SEARCH.toMillis());
    attempt(new Trip(call, now + search, now + patience.toMillis(), reply));
  }

  private void attempt(Trip trip) {
    long left = trip.left(ports.clock().millis());
    if (left <= 0) {
      giveUp(trip);
      return;
    }
    if (vm.cell().isPresent()) {
      left = trip.untilMillis - ports.clock().millis();
      vm.answer(trip.call, answer -> answered(trip, answer));
      ports.timers().after(Duration.ofMillis(left), () -> giveUp(trip));
      return;
    }
    Optional<LeaderRecord> leader = vm.leader();
    boolean here = leader.map(record -> vm.leads(record)).orElse(true);
    if (here) {
      ports.timers().after(PAUSE, () -> attempt(trip));
      return;
    }
    Duration timeout = Duration.ofMillis(Math.min(left, ATTEMPT.toMillis()));
    ports
        .peers()
        .call(VmId.of(leader.get().vm()), trip.call, timeout)
        .whenComplete(
            (answer, error) ->
                ports.timers().after(Duration.ZERO, () -> arrived(trip, answer, error)));
  }

  private void arrived(Trip trip, Object answer, Throwable error) {
    if (answer instanceof CellReply reply) {
      answered(trip, reply);
      return;
    }
    boolean sent = !(error instanceof PeerException failure) || failure.mayHaveBeenSent();
    trip.maybeTaken |= sent;
    vm.leaderCallFailed();
    ports.timers().after(PAUSE, () -> attempt(trip));
  }

  private void answered(Trip trip, CellReply reply) {
    if (trip.ended) {
      return;
    }
    switch (reply.outcome()) {
      case NOT_LEADING -> ports.timers().after(PAUSE, () -> attempt(trip));
      case UNCERTAIN -> {
        trip.maybeTaken = true;
        ports.timers().after(PAUSE, () -> attempt(trip));
      }
      case REFUSED -> {
        if (trip.maybeTaken) {
          end(trip, CellReply.of(Outcome.UNCERTAIN, "an earlier attempt may be accepted"));
        } else {
          end(trip, reply);
        }
      }
      default -> end(trip, reply);
    }
  }

  private void giveUp(Trip trip) {
    if (trip.ended) {
      return;
    }
    // A call that only reads takes no effect, so it was certainly not carried out.
    boolean reads = trip.call.action() == CellCall.Action.SHOW;
    boolean sent = !reads && (trip.maybeTaken || vm.cell().isPresent());
    CellReply reply =
        sent
            ? CellReply.of(Outcome.UNCERTAIN, "no answer in time")
            : new CellReply(
                Outcome.REFUSED, null, 0, (int) RETRY_AFTER.toMillis(), "no leader in time");
    ports
        .log()
        .event(
            "call-given-up",
            trip.call.job(),
            "action",
            trip.call.action(),
            "leader",
            vm.leader().map(LeaderRecord::vm).orElse(""),
            "outcome",
            reply.outcome());
    end(trip, reply);
  }

  private static void end(Trip trip, CellReply reply) {
    trip.ended = true;
    trip.reply.accept(reply);
  }

  /** One call on its way. */
  private static final class Trip {
    private final CellCall call;
    private final long searchUntilMillis;
    private final long untilMillis;
    private final Consumer<CellReply> reply;
    private boolean maybeTaken;
    private boolean ended;

    Trip(CellCall call, long searchUntilMillis, long untilMillis, Consumer<CellReply> reply) {
      this.call = call;
      this.searchUntilMillis = searchUntilMillis;
      this.untilMillis = untilMillis;
      this.reply = reply;
    }

    /** Returns how long to go on; only one that may have been taken goes on to the end. */
    long left(long nowMillis) {
      boolean keep = maybeTaken && call.action() != CellCall.Action.SHOW;
      return (keep ? untilMillis : searchUntilMillis) - nowMillis;
    }
  }
}
