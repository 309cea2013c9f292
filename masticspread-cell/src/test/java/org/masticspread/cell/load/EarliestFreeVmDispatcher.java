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
 * The dispatcher of an earlier version, as a baseline: each VM has its own queue, and a call is
 * queued at once at the VM that is free earliest, regardless of its priority.
 */
final class EarliestFreeVmDispatcher implements AdviceDispatcher {
  /** Overhead of a call beyond its time at the advisor: two hops between VMs and to the advisor. */
  private static final Duration OVERHEAD = Duration.ofMillis(8);

  /** Margin by which an answer may exceed the expected time. */
  private static final Duration TIMEOUT_MARGIN = Duration.ofMillis(400);

  /** Time for which a VM gets no calls after it failed to answer. */
  private static final Duration FAILURE_BACKOFF = Duration.ofMillis(1500);

  /** Maximum queueing time; beyond it, a ticket would expire before its turn. */
  private static final Duration MAX_QUEUE_TIME = Duration.ofMillis(1200);

  private final AdvisorClient advisor;
  private final Supplier<List<String>> vms;
  private final InstantSource clock;
  private final Map<String, Long> busyUntil = new HashMap<>();

  EarliestFreeVmDispatcher(AdvisorClient advisor, Supplier<List<String>> vms, InstantSource clock) {
    this.advisor = advisor;
    this.vms = vms;
    this.clock = clock;
  }

  @Override
  public boolean accepts(int priority) {
    return clock.millis() + MAX_QUEUE_TIME.toMillis() > freeAt(earliestFreeVm());
  }

  @Override
  public Single<AdviceReply> submit(Request request) {
    String vm = earliestFreeVm();
    long now = clock.millis();
    long done =
        freeAt(vm) + request.rule().callTime(request.workers().size()).plus(OVERHEAD).toMillis();
    busyUntil.put(vm, done);
    Duration timeout = Duration.ofMillis(done - now).plus(TIMEOUT_MARGIN);
    return advisor
        .ask(vm, request.step(), request.workers(), timeout)
        .doOnSuccess(reply -> onReply(vm, reply));
  }

  private void onReply(String vm, AdviceReply reply) {
    if (!reply.answered()) {
      busyUntil.put(vm, Math.max(freeAt(vm), clock.millis() + FAILURE_BACKOFF.toMillis()));
    }
  }

  private String earliestFreeVm() {
    return vms.get().stream().min(Comparator.comparingLong(this::freeAt)).orElse("");
  }

  private long freeAt(String vm) {
    return Math.max(clock.millis(), busyUntil.getOrDefault(vm, 0L));
  }
}
