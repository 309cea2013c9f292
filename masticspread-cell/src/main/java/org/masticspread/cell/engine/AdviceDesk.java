package org.masticspread.cell.engine;

import io.reactivex.rxjava3.core.Single;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.masticspread.model.cell.AdviceRule;
import org.masticspread.model.peer.AdviceReply;

/**
 * Spreads calls to the advisor over the VMs: it serves one call at a time of each VM, so each VM is
 * a queue of its own. A call goes to the VM that is free first.
 */
public final class AdviceDesk {
  /** Added to a call's time at the advisor: two hops between VMs and to the advisor. */
  private static final Duration OVERHEAD = Duration.ofMillis(8);

  /** How long an answer may take beyond the time that the queue needs. */
  private static final Duration PATIENCE = Duration.ofMillis(400);

  /** After a VM did not answer, it is asked again so much later. */
  private static final Duration FAILED_PAUSE = Duration.ofMillis(1500);

  /** Calls are not queued further ahead than this: a ticket would lapse before its turn. */
  private static final Duration LONGEST_QUEUE = Duration.ofMillis(1200);

  /** Calls the advisor from a VM. */
  @FunctionalInterface
  public interface Caller {
    /**
     * Asks which workers may run a step.
     *
     * @param vm the VM that calls
     * @param step the step
     * @param workers the workers to ask about
     * @param timeout how long to wait
     * @return the advice; never fails
     */
    Single<AdviceReply> ask(String vm, String step, List<String> workers, Duration timeout);
  }

  private final Caller caller;
  private final Supplier<List<String>> vms;
  private final InstantSource clock;
  private final Map<String, Long> busyUntil = new HashMap<>();

  /**
   * Creates a desk.
   *
   * @param caller calls the advisor
   * @param vms the VMs that can call it
   * @param clock a steady clock
   */
  public AdviceDesk(Caller caller, Supplier<List<String>> vms, InstantSource clock) {
    this.caller = caller;
    this.vms = vms;
    this.clock = clock;
  }

  /**
   * Tells whether a call would be served soon.
   *
   * @return false when every VM has a long queue
   */
  boolean open() {
    return clock.millis() + LONGEST_QUEUE.toMillis() > freeAt(next());
  }

  /** Asks about a step at the VM that is free first. */
  Single<AdviceReply> ask(String step, List<String> workers, AdviceRule rule) {
    String vm = next();
    long now = clock.millis();
    long done = freeAt(vm) + rule.callTime(workers.size()).plus(OVERHEAD).toMillis();
    busyUntil.put(vm, done);
    Duration timeout = Duration.ofMillis(done - now).plus(PATIENCE);
    return caller.ask(vm, step, workers, timeout).doOnSuccess(reply -> answered(vm, reply));
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
