package org.masticspread.cell.load;

import io.reactivex.rxjava3.core.Single;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.masticspread.cell.engine.AdviceDispatcher;
import org.masticspread.model.peer.AdviceReply;

/**
 * The desk of an earlier version, to compare with: each VM is a queue of its own, and a call goes
 * at once to the VM that is free first, whatever its priority.
 */
final class FirstFreeDesk implements AdviceDispatcher {
  /** Added to a call's time at the advisor: two hops between VMs and to the advisor. */
  private static final Duration OVERHEAD = Duration.ofMillis(8);

  /** How long an answer may take beyond the time that the queue needs. */
  private static final Duration PATIENCE = Duration.ofMillis(400);

  /** After a VM did not answer, it is asked again so much later. */
  private static final Duration FAILED_PAUSE = Duration.ofMillis(1500);

  /** Calls are not queued further ahead than this: a ticket would lapse before its turn. */
  private static final Duration LONGEST_QUEUE = Duration.ofMillis(1200);

  private final AdvisorClient caller;
  private final Supplier<List<String>> vms;
  private final InstantSource clock;
  private final Map<String, Long> busyUntil = new HashMap<>();

  FirstFreeDesk(AdvisorClient caller, Supplier<List<String>> vms, InstantSource clock) {
    this.caller = caller;
    this.vms = vms;
    this.clock = clock;
  }

  @Override
  public boolean accepts(int priority) {
    return clock.millis() + LONGEST_QUEUE.toMillis() > freeAt(next());
  }

  @Override
  public Single<AdviceReply> submit(Request question) {
    String vm = next();
    long now = clock.millis();
    long done =
        freeAt(vm) + question.rule().callTime(question.workers().size()).plus(OVERHEAD).toMillis();
    busyUntil.put(vm, done);
    Duration timeout = Duration.ofMillis(done - now).plus(PATIENCE);
    return caller
        .ask(vm, question.step(), question.workers(), timeout)
        .doOnSuccess(reply -> answered(vm, reply));
  }

  private void answered(String vm, AdviceReply reply) {
    if (!reply.answered()) {
      busyUntil.put(vm, Math.max(freeAt(vm), clock.millis() + FAILED_PAUSE.toMillis()));
    }
  }

  private String next() {
    return vms.get().stream().min(Comparator.comparingLong(this::freeAt)).orElse("");
  }

  private long freeAt(String vm) {
    return Math.max(clock.millis(), busyUntil.getOrDefault(vm, 0L));
  }
}
