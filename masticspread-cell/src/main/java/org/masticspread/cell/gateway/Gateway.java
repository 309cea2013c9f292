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
 * Forwards calls to the leader, and to the next leader if it changes meanwhile. Calls can be
 * retried, since they are idempotent by the id of their job.
 *
 * <p>A call is answered as refused only if no attempt may have been accepted. While the leader is
 * overloaded, calls that would wait too long are refused at once (load shedding).
 */
public final class Gateway {
  /**
   * A call that reached no leader within this time is refused, so that its caller can try another
   * VM; a change of the leader takes about a second. A call that may have been accepted is retried
   * for longer, since it cannot be refused with certainty.
   */
  private static final Duration MAX_LEADER_WAIT = Duration.ofMillis(1400);

  /** The delay between attempts on this VM while it starts to lead. */
  private static final Duration LOCAL_RETRY_DELAY = Duration.ofMillis(40);

  /** How soon callers may retry after the cell had no leader or an overloaded one. */
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  /** Spreads the retries of callers that were refused at the same time. */
  private static final Duration RETRY_JITTER = Duration.ofSeconds(2);

  /** Ranks calls to unknown queues behind all others; the leader answers them. */
  private static final int LOWEST_RANK = 1000;

  private final VmPorts ports;
  private final Vm vm;
  private final LeaderCallQueue reads;
  private final LeaderCallQueue writes;
  private final JobCountCache counts;

  /**
   * Creates a gateway.
   *
   * @param vm the VM
   */
  public Gateway(Vm vm) {
    this.ports = vm.ports();
    this.vm = vm;
    QueueCallbacks callbacks = new QueueCallbacks();
    this.reads = new LeaderCallQueue(ports, vm, callbacks);
    this.writes = new LeaderCallQueue(ports, vm, callbacks);
    this.counts = new JobCountCache(ports, vm);
    vm.onLeaderServing(
        () -> {
          reads.dispatch();
          writes.dispatch();
        });
  }

  /**
   * Forwards a call.
   *
   * @param call the call
   * @param timeout how long the caller waits
   * @param reply receives the final answer: {@link Outcome#UNCERTAIN} or {@link Outcome#REFUSED} if
   *     none came before the timeout
   */
  public void forward(CellCall call, Duration timeout, Consumer<CellReply> reply) {
    long now = ports.clock().millis();
    long leaderWait = Math.min(timeout.toMillis(), MAX_LEADER_WAIT.toMillis());
    if (call.action() == Action.COUNT) {
      counts.answer(call, Duration.ofMillis(leaderWait), reply);
      return;
    }
    attempt(
        new ForwardedCall(
            call, rank(call), now, now + leaderWait, now + timeout.toMillis(), reply));
  }

  private int rank(CellCall call) {
    if (call.action() != Action.SUBMIT) {
      return -1;
    }
    return vm.config()
        .flatMap(config -> config.queue(call.queue()))
        .map(QueueRule::priority)
        .orElse(LOWEST_RANK);
  }

  private void attempt(ForwardedCall forwarded) {
    long now = ports.clock().millis();
    if (forwarded.completed()) {
      return;
    }
    if (forwarded.remainingMillis(now) <= 0) {
      giveUp(forwarded);
      return;
    }
    if (vm.cell().isPresent()) {
      answerLocally(forwarded);
      return;
    }
    (forwarded.isRead() ? reads : writes).add(forwarded);
  }

  /** Answers the call on this VM, which leads. */
  private void answerLocally(ForwardedCall forwarded) {
    forwarded.inFlight++;
    vm.answer(
        forwarded.call,
        answer -> {
          forwarded.inFlight--;
          onReply(forwarded, answer);
        });
    if (!forwarded.completed()) {
      ports
          .timers()
          .after(
              Duration.ofMillis(forwarded.callerRemainingMillis(ports.clock().millis())),
              () -> giveUp(forwarded));
    }
  }

  private void onReply(ForwardedCall forwarded, CellReply reply) {
    switch (reply.outcome()) {
      case NOT_LEADING -> ports.timers().after(LOCAL_RETRY_DELAY, () -> attempt(forwarded));
      case UNCERTAIN -> {
        forwarded.maybeAccepted = true;
        ports.timers().after(LOCAL_RETRY_DELAY, () -> attempt(forwarded));
      }
      case REFUSED, UNKNOWN_QUEUE -> {
        if (forwarded.mayHaveEffect()) {
          forwarded.complete(
              CellReply.of(Outcome.UNCERTAIN, "an earlier attempt may have been accepted"));
        } else {
          forwarded.complete(reply);
        }
      }
      default -> forwarded.complete(reply);
    }
  }

  private void giveUp(ForwardedCall forwarded) {
    if (forwarded.completed()) {
      return;
    }
    CellReply reply =
        forwarded.mayHaveEffect()
            ? CellReply.of(Outcome.UNCERTAIN, "no answer before the timeout")
            : refusal(forwarded, "no leader before the timeout");
    ports
        .log()
        .event(
            "call-given-up",
            forwarded.call.job(),
            "action",
            forwarded.call.action(),
            "leader",
            vm.leader().map(LeaderRecord::vm).orElse(""),
            "outcome",
            reply.outcome(),
            "afterMs",
            ports.clock().millis() - forwarded.startMillis);
    forwarded.complete(reply);
  }

  private static CellReply refusal(ForwardedCall forwarded, String reason) {
    int jitter = Math.floorMod(forwarded.call.job().hashCode(), (int) RETRY_JITTER.toMillis());
    int retryAfter = (int) RETRY_AFTER.toMillis() + jitter;
    return new CellReply(Outcome.REFUSED, null, 0, retryAfter, reason);
  }

  private final class QueueCallbacks implements LeaderCallQueue.Callbacks {
    @Override
    public void retry(ForwardedCall forwarded, Duration delay) {
      if (delay.isZero()) {
        attempt(forwarded);
      } else {
        ports.timers().after(delay, () -> attempt(forwarded));
      }
    }

    @Override
    public void onReply(ForwardedCall forwarded, CellReply reply) {
      Gateway.this.onReply(forwarded, reply);
    }

    @Override
    public void refuse(ForwardedCall forwarded, Duration wait) {
      Optional<LeaderRecord> leader = vm.leader();
      ports.metrics().counter("refused.leader.behind").inc();
      ports
          .log()
          .event(
              "call-refused",
              forwarded.call.job(),
              "action",
              forwarded.call.action(),
              "leader",
              leader.map(LeaderRecord::vm).orElse(""),
              "serves",
              vm.leaderServes(),
              "waitMs",
              wait.toMillis());
      String reason =
          vm.leaderCutOff() ? "no other region can be reached" : "the leader is overloaded";
      forwarded.complete(refusal(forwarded, reason));
    }

    @Override
    public void expire(ForwardedCall forwarded) {
      giveUp(forwarded);
    }
  }
}
