package org.masticspread.cell.gateway;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.masticspread.cell.journal.LeaderRecord;
import org.masticspread.cell.lead.Vm;
import org.masticspread.cell.lead.VmPorts;
import org.masticspread.model.cell.QueueRule;
import org.masticspread.model.peer.CellCall;
import org.masticspread.model.peer.CellCall.Action;
import org.masticspread.model.peer.CellReply;
import org.masticspread.model.peer.CellReply.Outcome;

/**
 * Carries calls to the leader, and again to the next one when the leader changes meanwhile. A call
 * about a job can be repeated: its id makes it the same job.
 *
 * <p>A refusal is told as certain only if no attempt of the call may have been accepted. While the
 * leader is behind, calls that would wait for long are refused here, at once.
 */
public final class Gateway {
  /**
   * A call that reached no leader after this is given back, so that its caller can try another VM:
   * a change of the leader takes about a second. One that may have been taken goes on, since its
   * caller could not be told that it was not.
   */
  private static final Duration LONGEST_SEARCH = Duration.ofMillis(1400);

  /** Between two attempts on this VM while it begins to lead. */
  private static final Duration PAUSE = Duration.ofMillis(40);

  /** When to come back after the cell had no leader, or its leader was behind. */
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  /** Callers that were refused together come back spread over this. */
  private static final Duration RETRY_SPREAD = Duration.ofSeconds(2);

  /** Behind all queues; a call without a known queue is answered by the leader. */
  private static final int LAST = 1000;

  private final VmPorts ports;
  private final Vm vm;
  private final LeaderLine reads;
  private final LeaderLine writes;
  private final CountCache counts;

  /**
   * Creates a gateway.
   *
   * @param ports what the VM works with
   * @param vm the VM
   */
  public Gateway(VmPorts ports, Vm vm) {
    this.ports = ports;
    this.vm = vm;
    Owner owner = new Owner();
    this.reads = new LeaderLine(ports, vm, owner);
    this.writes = new LeaderLine(ports, vm, owner);
    this.counts = new CountCache(ports, vm);
    vm.onLeaderServing(
        () -> {
          reads.pump();
          writes.pump();
        });
  }

  /**
   * Carries a call.
   *
   * @param call the call
   * @param patience how long the caller waits
   * @param reply gets the final answer: {@link Outcome#UNCERTAIN} or {@link Outcome#REFUSED} when
   *     none came in time
   */
  public void forward(CellCall call, Duration patience, Consumer<CellReply> reply) {
    long now = ports.clock().millis();
    long search = Math.min(patience.toMillis(), LONGEST_SEARCH.toMillis());
    if (call.action() == Action.COUNT) {
      counts.answer(call, Duration.ofMillis(search), reply);
      return;
    }
    attempt(new Trip(call, rank(call), now, now + search, now + patience.toMillis(), reply));
  }

  private int rank(CellCall call) {
    if (call.action() != Action.SUBMIT) {
      return -1;
    }
    return vm.config()
        .flatMap(config -> config.queue(call.queue()))
        .map(QueueRule::priority)
        .orElse(LAST);
  }

  private void attempt(Trip trip) {
    long now = ports.clock().millis();
    if (trip.ended()) {
      return;
    }
    if (trip.left(now) <= 0) {
      giveUp(trip);
      return;
    }
    if (vm.cell().isPresent()) {
      here(trip);
      return;
    }
    (trip.reads() ? reads : writes).add(trip);
  }

  /** Lets this VM answer, which leads. */
  private void here(Trip trip) {
    trip.open++;
    vm.answer(
        trip.call,
        answer -> {
          trip.open--;
          answered(trip, answer);
        });
    if (!trip.ended()) {
      ports
          .timers()
          .after(Duration.ofMillis(trip.patience(ports.clock().millis())), () -> giveUp(trip));
    }
  }

  private void answered(Trip trip, CellReply reply) {
    switch (reply.outcome()) {
      case NOT_LEADING -> ports.timers().after(PAUSE, () -> attempt(trip));
      case UNCERTAIN -> {
        trip.maybeTaken = true;
        ports.timers().after(PAUSE, () -> attempt(trip));
      }
      case REFUSED -> {
        if (trip.mayHaveEffect()) {
          trip.end(CellReply.of(Outcome.UNCERTAIN, "an earlier attempt may be accepted"));
        } else {
          trip.end(reply);
        }
      }
      default -> trip.end(reply);
    }
  }

  private void giveUp(Trip trip) {
    if (trip.ended()) {
      return;
    }
    CellReply reply =
        trip.mayHaveEffect()
            ? CellReply.of(Outcome.UNCERTAIN, "no answer in time")
            : refusal(trip, "no leader in time");
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
            reply.outcome(),
            "afterMs",
            ports.clock().millis() - trip.begunMillis);
    trip.end(reply);
  }

  private static CellReply refusal(Trip trip, String reason) {
    int spread = Math.floorMod(trip.call.job().hashCode(), (int) RETRY_SPREAD.toMillis());
    int retryAfter = (int) RETRY_AFTER.toMillis() + spread;
    return new CellReply(Outcome.REFUSED, null, 0, retryAfter, reason);
  }

  private final class Owner implements LeaderLine.Owner {
    @Override
    public void again(Trip trip, Duration pause) {
      if (pause.isZero()) {
        attempt(trip);
      } else {
        ports.timers().after(pause, () -> attempt(trip));
      }
    }

    @Override
    public void answered(Trip trip, CellReply reply) {
      Gateway.this.answered(trip, reply);
    }

    @Override
    public void crowded(Trip trip, Duration wait) {
      Optional<LeaderRecord> leader = vm.leader();
      ports.metrics().counter("refused.leader.behind").inc();
      ports
          .log()
          .event(
              "call-refused",
              trip.call.job(),
              "action",
              trip.call.action(),
              "leader",
              leader.map(LeaderRecord::vm).orElse(""),
              "serves",
              vm.leaderServes(),
              "waitMs",
              wait.toMillis());
      trip.end(refusal(trip, "the leader is behind"));
    }

    @Override
    public void expired(Trip trip) {
      giveUp(trip);
    }
  }
}
