package org.masticspread.cell.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.masticspread.cell.journal.LeaderRecord;
import org.masticspread.cell.lead.Vm;
import org.masticspread.cell.lead.VmPorts;
import org.masticspread.model.id.VmId;
import org.masticspread.model.peer.CellCall;
import org.masticspread.model.peer.CellReply;
import org.masticspread.model.peer.CellReply.Outcome;

/**
 * Caches the number of jobs that wait in each queue. A count may be slightly stale, so the leader
 * is asked rarely, and once for all waiting callers. Confined to the VM's thread.
 */
final class JobCountCache {
  /** A count that is not older than this is returned without asking the leader. */
  private static final Duration MAX_FRESH_AGE = Duration.ofMillis(900);

  /** The oldest count that the platform's contract allows; returned while no VM leads. */
  private static final Duration MAX_STALE_AGE = Duration.ofMillis(1900);

  /** Callers do not wait longer for a count, and a slower leader should not be asked again. */
  private static final Duration TIMEOUT = Duration.ofMillis(700);

  private static final Duration RETRY_DELAY = Duration.ofMillis(100);
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final VmPorts ports;
  private final Vm vm;
  private final Map<String, CachedCount> counts = new HashMap<>();

  JobCountCache(VmPorts ports, Vm vm) {
    this.ports = ports;
    this.vm = vm;
  }

  private static final class CachedCount {
    private final List<Waiter> waiters = new ArrayList<>();
    private CellReply count;
    private long countedMillis = NEVER;

    /** Whether the leader is being asked, or will be after a delay. */
    private boolean asking;

    void forgetCount() {
      count = null;
      countedMillis = NEVER;
    }

    /** Removes the waiters that a reply applies to, and replies to each of them. */
    void reply(Predicate<Waiter> to, CellReply answer) {
      List<Waiter> answered = waiters.stream().filter(to).toList();
      waiters.removeAll(answered);
      answered.forEach(waiter -> waiter.reply.accept(answer));
    }
  }

  private record Waiter(CellCall call, long deadlineMillis, Consumer<CellReply> reply) {}

  /**
   * Answers a call for the number of waiting jobs.
   *
   * @param call the call
   * @param timeout how long the caller waits at most
   * @param reply receives the count or a refusal, exactly once
   */
  void answer(CellCall call, Duration timeout, Consumer<CellReply> reply) {
    long now = ports.clock().millis();
    CachedCount cached = counts.computeIfAbsent(call.queue(), name -> new CachedCount());
    if (now - cached.countedMillis <= MAX_FRESH_AGE.toMillis()) {
      reply.accept(cached.count);
      return;
    }
    cached.waiters.add(new Waiter(call, now + timeout.toMillis(), reply));
    if (!cached.asking) {
      ask(cached);
    }
  }

  /** Asks the leader, again and again until no caller waits. */
  private void ask(CachedCount cached) {
    cached.asking = true;
    CellCall call = newestCall(cached);
    long sent = ports.clock().millis();
    Optional<LeaderRecord> leader = vm.leader();
    if (vm.cell().isPresent()) {
      vm.answer(call, reply -> answered(call, cached, sent, reply));
    } else if (leader.isEmpty() || vm.isSelf(leader.get())) {
      ports.timers().after(RETRY_DELAY, () -> answered(call, cached, sent, null));
    } else {
      ports
          .peers()
          .call(VmId.of(leader.get().vm()), call, TIMEOUT)
          .whenComplete(
              (answer, error) ->
                  ports.timers().after(Duration.ZERO, () -> answered(call, cached, sent, answer)));
    }
  }

  /** Returns the waiting call of the newest configuration. */
  private static CellCall newestCall(CachedCount cached) {
    return cached.waiters.stream()
        .map(Waiter::call)
        .max(Comparator.comparingLong(CellCall::configVersion))
        .orElseThrow();
  }

  private void answered(CellCall call, CachedCount cached, long sentMillis, Object answer) {
    Duration retryDelay = RETRY_DELAY;
    if (answer instanceof CellReply reply && reply.outcome() == Outcome.COUNTED) {
      cached.count = reply;
      cached.countedMillis = sentMillis;
      cached.reply(waiter -> true, reply);
    } else if (answer instanceof CellReply reply && reply.outcome() == Outcome.UNKNOWN_QUEUE) {
      cached.forgetCount();
      // Callers with a newer configuration may know the queue from it.
      cached.reply(waiter -> waiter.call.configVersion() <= call.configVersion(), reply);
      retryDelay = Duration.ZERO;
    } else {
      answerStale(cached);
    }
    if (!cached.waiters.isEmpty()) {
      ports.timers().after(retryDelay, () -> ask(cached));
      return;
    }
    cached.asking = false;
    if (cached.count == null) {
      counts.remove(call.queue());
    }
  }

  /** Answers with a stale count while it is not too old; otherwise refuses expired waiters. */
  private void answerStale(CachedCount cached) {
    long now = ports.clock().millis();
    if (now - cached.countedMillis <= MAX_STALE_AGE.toMillis()) {
      cached.reply(waiter -> true, cached.count);
      return;
    }
    CellReply refusal =
        new CellReply(
            Outcome.REFUSED,
            null,
            0,
            (int) RETRY_AFTER.toMillis(),
            "no leader is available to count the jobs");
    cached.reply(waiter -> now >= waiter.deadlineMillis, refusal);
  }
}
