package org.masticspread.cell.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import org.masticspread.cell.journal.LeaderRecord;
import org.masticspread.cell.lead.Vm;
import org.masticspread.cell.lead.VmPorts;
import org.masticspread.model.id.VmId;
import org.masticspread.model.peer.CellReply;

/**
 * Queues the calls of one kind that a VM sends to the leader. Sends as many concurrently as the
 * window allows, the most urgent first. While no leader accepts calls, they wait here and the
 * leader is only probed. Confined to the VM's thread.
 */
final class LeaderCallQueue {
  /** The timeout of an attempt at a leader that answers quickly. */
  private static final Duration ATTEMPT_TIMEOUT = Duration.ofMillis(1200);

  /** The interval at which waiting calls are checked, and the delay of a retry. */
  private static final Duration POLL_INTERVAL = Duration.ofMillis(40);

  /** A call that would wait longer is refused at once; check jobs have about 250 ms in all. */
  private static final Duration MAX_WAIT = Duration.ofMillis(400);

  /** Limits the calls that wait while no VM leads to what a new leader can soon accept. */
  private static final int MAX_WAITING = 100;

  /** Handles calls that leave the queue. */
  interface Callbacks {
    /** Retries a call after a delay, or gives up if there is no time left. */
    void retry(ForwardedCall forwarded, Duration delay);

    /** Handles an answer of the leader. */
    void onReply(ForwardedCall forwarded, CellReply reply);

    /** Refuses a call that was not sent and would wait too long. */
    void refuse(ForwardedCall forwarded, Duration wait);

    /** Gives up a call whose time ran out in the queue. */
    void expire(ForwardedCall forwarded);
  }

  private static final Comparator<ForwardedCall> MOST_URGENT_FIRST =
      Comparator.<ForwardedCall>comparingInt(forwarded -> forwarded.mayHaveEffect() ? 0 : 1)
          .thenComparingInt(forwarded -> forwarded.rank)
          .thenComparingLong(forwarded -> forwarded.startMillis);

  private final VmPorts ports;
  private final Vm vm;
  private final Callbacks callbacks;
  private final CallWindow window;
  private final PriorityQueue<ForwardedCall> waiting = new PriorityQueue<>(MOST_URGENT_FIRST);
  private final List<Attempt> attempts = new ArrayList<>();
  private Optional<LeaderRecord> leader = Optional.empty();
  private boolean dispatchScheduled;

  LeaderCallQueue(VmPorts ports, Vm vm, Callbacks callbacks) {
    this.ports = ports;
    this.vm = vm;
    this.callbacks = callbacks;
    this.window = new CallWindow(ports.clock());
  }

  /** Enqueues a call, or refuses it if it would wait too long. */
  void add(ForwardedCall forwarded) {
    boolean tooLong = vm.leaderServes() ? expectedWait().compareTo(MAX_WAIT) > 0 : isFull();
    if ((tooLong || vm.leaderCutOff()) && !forwarded.mayHaveEffect()) {
      callbacks.refuse(forwarded, expectedWait());
      return;
    }
    waiting.add(forwarded);
    dispatch();
  }

  private boolean isFull() {
    return waiting.size() >= MAX_WAITING;
  }

  /** Returns the expected wait of a call, at least the time since the oldest attempt was sent. */
  private Duration expectedWait() {
    if (window.isOpen()) {
      return Duration.ZERO;
    }
    long now = ports.clock().millis();
    long oldest = attempts.stream().mapToLong(attempt -> now - attempt.sentMillis).max().orElse(0);
    Duration queued = window.expectedWait(waiting.size());
    return queued.toMillis() > oldest ? queued : Duration.ofMillis(oldest);
  }

  /** Sends waiting calls as far as the leader and the window allow. */
  void dispatch() {
    retryOnLeaderChange();
    if (vm.cell().isPresent()) {
      drain(forwarded -> callbacks.retry(forwarded, Duration.ZERO));
      return;
    }
    while (!waiting.isEmpty() && vm.leaderServes() && window.isOpen()) {
      ForwardedCall forwarded = waiting.poll();
      if (!forwarded.completed()) {
        send(forwarded, vm.leader().orElseThrow());
      }
    }
    scheduleDispatch();
  }

  private void drain(Consumer<ForwardedCall> each) {
    List<ForwardedCall> all = List.copyOf(waiting);
    waiting.clear();
    all.forEach(each);
  }

  /** Retries the calls that were sent to a former leader, which may have accepted them. */
  private void retryOnLeaderChange() {
    if (leader.equals(vm.leader())) {
      return;
    }
    leader = vm.leader();
    window.reset();
    List<Attempt> former = List.copyOf(attempts);
    attempts.clear();
    for (Attempt attempt : former) {
      window.abandoned();
      attempt.forwarded.maybeAccepted = true;
      callbacks.retry(attempt.forwarded, Duration.ZERO);
    }
  }

  private void scheduleDispatch() {
    if (dispatchScheduled || waiting.isEmpty()) {
      return;
    }
    dispatchScheduled = true;
    ports
        .timers()
        .after(
            POLL_INTERVAL,
            () -> {
              dispatchScheduled = false;
              expireWaiting();
              if (!vm.leaderServes()) {
                vm.probeLeader();
              }
              dispatch();
            });
  }

  private void expireWaiting() {
    long now = ports.clock().millis();
    List<ForwardedCall> expired =
        waiting.stream().filter(forwarded -> forwarded.remainingMillis(now) <= 0).toList();
    waiting.removeAll(expired);
    expired.forEach(callbacks::expire);
    Duration wait = expectedWait();
    boolean tooLong = vm.leaderServes() && wait.compareTo(MAX_WAIT) > 0;
    if (tooLong || vm.leaderCutOff()) {
      List<ForwardedCall> refused =
          waiting.stream().filter(forwarded -> !forwarded.mayHaveEffect()).toList();
      waiting.removeAll(refused);
      refused.forEach(forwarded -> callbacks.refuse(forwarded, wait));
    }
  }

  private void send(ForwardedCall forwarded, LeaderRecord record) {
    long now = ports.clock().millis();
    Duration limit = vm.slowAnswerTime().multipliedBy(2).plus(ATTEMPT_TIMEOUT);
    final long timeout =
        Math.max(1, Math.min(forwarded.callerRemainingMillis(now), limit.toMillis()));
    Attempt attempt = new Attempt(forwarded, now);
    attempts.add(attempt);
    window.sent();
    forwarded.inFlight++;
    ports
        .peers()
        .call(VmId.of(record.vm()), forwarded.call, Duration.ofMillis(timeout))
        .whenComplete(
            (answer, error) ->
                ports.timers().after(Duration.ZERO, () -> onAnswer(attempt, answer)));
  }

  private void onAnswer(Attempt attempt, Object answer) {
    attempt.forwarded.inFlight--;
    boolean current = attempts.remove(attempt);
    CellReply reply = answer instanceof CellReply given ? given : null;
    if (!current) {
      // The answer of a former leader counts only if it tells the effect; the call is retried.
      if (reply != null && reply.outcome().isAuthoritative()) {
        callbacks.onReply(attempt.forwarded, reply);
      }
      return;
    }
    if (reply == null) {
      window.unanswered();
      vm.probeLeader();
      attempt.forwarded.maybeAccepted = true;
      callbacks.retry(attempt.forwarded, POLL_INTERVAL);
    } else {
      window.answered(Duration.ofMillis(ports.clock().millis() - attempt.sentMillis));
      onCurrentReply(attempt.forwarded, reply);
    }
    dispatch();
  }

  private void onCurrentReply(ForwardedCall forwarded, CellReply reply) {
    if (reply.outcome() == CellReply.Outcome.NOT_LEADING) {
      vm.leaderNotServing();
      callbacks.retry(forwarded, Duration.ZERO);
      return;
    }
    vm.leaderAnswered();
    callbacks.onReply(forwarded, reply);
  }

  private record Attempt(ForwardedCall forwarded, long sentMillis) {}
}
