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
 * Answers how many jobs wait in a queue. A count may be some time old, so the leader is asked
 * seldom, and once for all callers that wait. Confined to the VM's thread.
 */
final class CountCache {
  /** A count that was asked for so lately is told without asking again. */
  private static final Duration FRESH = Duration.ofMillis(900);

  /** The platform's contract allows a count of this age; it is told while no VM leads. */
  private static final Duration OLDEST = Duration.ofMillis(1900);

  /** A count is worth no longer wait, and a leader that is slower needs no second question. */
  private static final Duration TIMEOUT = Duration.ofMillis(700);

  private static final Duration PAUSE = Duration.ofMillis(100);
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final VmPorts ports;
  private final Vm vm;
  private final Map<String, Queue> queues = new HashMap<>();

  CountCache(VmPorts ports, Vm vm) {
    this.ports = ports;
    this.vm = vm;
  }

  private static final class Queue {
    private final List<Waiter> waiters = new ArrayList<>();
    private CellReply count;
    private long countedMillis = Long.MIN_VALUE / 2;
    private boolean asking;
  }

  private record Waiter(long untilMillis, Consumer<CellReply> reply) {}

  /**
   * Answers a count.
   *
   * @param call the call
   * @param patience how long the caller waits at most
   * @param reply gets the count, or a refusal
   */
  void answer(CellCall call, Duration patience, Consumer<CellReply> reply) {
    long now = ports.clock().millis();
    Queue queue = queues.computeIfAbsent(call.queue(), name -> new Queue());
    if (now - queue.countedMillis <= FRESH.toMillis()) {
      reply.accept(queue.count);
      return;
    }
    queue.waiters.add(new Waiter(now + patience.toMillis(), reply));
    ask(call, queue);
  }

  private void ask(CellCall call, Queue queue) {
    if (queue.asking) {
      return;
    }
    queue.asking = true;
    long sent = ports.clock().millis();
    Optional<LeaderRecord> leader = vm.leader();
    if (vm.cell().isPresent()) {
      vm.answer(call, reply -> answered(call, queue, sent, reply));
    } else if (leader.isEmpty() || vm.isSelf(leader.get())) {
      ports.timers().after(PAUSE, () -> answered(call, queue, sent, null));
    } else {
      ports
          .peers()
          .call(VmId.of(leader.get().vm()), call, TIMEOUT)
          .whenComplete(
              (answer, error) ->
                  ports.timers().after(Duration.ZERO, () -> answered(call, queue, sent, answer)));
    }
  }

  private void answered(CellCall call, Queue queue, long sentMillis, Object answer) {
    queue.asking = false;
    if (answer instanceof CellReply reply && reply.outcome() == Outcome.COUNTED) {
      queue.count = reply;
      queue.countedMillis = sentMillis;
      List<Waiter> waiters = List.copyOf(queue.waiters);
      queue.waiters.clear();
      waiters.forEach(waiter -> waiter.reply.accept(reply));
      return;
    }
    giveOld(queue);
    if (!queue.waiters.isEmpty()) {
      ports.timers().after(PAUSE, () -> ask(call, queue));
    }
  }

  /** Tells an older count while it may be told, and refuses those who have waited long enough. */
  private void giveOld(Queue queue) {
    long now = ports.clock().millis();
    boolean old = now - queue.countedMillis <= OLDEST.toMillis();
    CellReply refusal =
        new CellReply(
            Outcome.REFUSED, null, 0, (int) RETRY_AFTER.toMillis(), "no leader counts the jobs");
    for (Waiter waiter : List.copyOf(queue.waiters)) {
      if (old || now >= waiter.untilMillis) {
        queue.waiters.remove(waiter);
        waiter.reply.accept(old ? queue.count : refusal);
      }
    }
  }
}
