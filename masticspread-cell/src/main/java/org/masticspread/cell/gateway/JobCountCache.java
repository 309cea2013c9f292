package org.masticspread.cell.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
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
    private long countedMillis = Long.MIN_VALUE / 2;
    private boolean asking;
  }

  private record Waiter(long deadlineMillis, Consumer<CellReply> reply) {}

  /**
   * Answers a call for the number of waiting jobs.
   *
   * @param call the call
   * @param timeout how long the caller waits at most
   * @param reply receives the count or a refusal
   */
  void answer(CellCall call, Duration timeout, Consumer<CellReply> reply) {
    long now = ports.clock().millis();
    CachedCount cached = counts.computeIfAbsent(call.queue(), name -> new CachedCount());
    if (now - cached.countedMillis <= MAX_FRESH_AGE.toMillis()) {
      reply.accept(cached.count);
      return;
    }
    cached.waiters.add(new Waiter(now + timeout.toMillis(), reply));
    ask(call, cached);
  }

  private void ask(CellCall call, CachedCount cached) {
    if (cached.asking) {
      return;
    }
    cached.asking = true;
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

  private void answered(CellCall call, CachedCount cached, long sentMillis, Object answer) {
    cached.asking = false;
    if (answer instanceof CellReply reply && reply.outcome() == Outcome.COUNTED) {
      cached.count = reply;
      cached.countedMillis = sentMillis;
      List<Waiter> waiters = List.copyOf(cached.waiters);
      cached.waiters.clear();
      waiters.forEach(waiter -> waiter.reply.accept(reply));
      return;
    }
    if (answer instanceof CellReply reply && reply.outcome() == Outcome.UNKNOWN_QUEUE) {
      counts.remove(call.queue());
      cached.waiters.forEach(waiter -> waiter.reply.accept(reply));
      return;
    }
    answerStale(cached);
    if (!cached.waiters.isEmpty()) {
      ports.timers().after(RETRY_DELAY, () -> ask(call, cached));
    }
  }

  /** Answers with a stale count while it is not too old; otherwise refuses expired waiters. */
  private void answerStale(CachedCount cached) {
    long now = ports.clock().millis();
    boolean usable = now - cached.countedMillis <= MAX_STALE_AGE.toMillis();
    CellReply refusal =
        new CellReply(
            Outcome.REFUSED,
            null,
            0,
            (int) RETRY_AFTER.toMillis(),
            "no leader is available to count the jobs");
    for (Waiter waiter : List.copyOf(cached.waiters)) {
      if (usable || now >= waiter.deadlineMillis) {
        cached.waiters.remove(waiter);
        waiter.reply.accept(usable ? cached.count : refusal);
      }
    }
  }
}
