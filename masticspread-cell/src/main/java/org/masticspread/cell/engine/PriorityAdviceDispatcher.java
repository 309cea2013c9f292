package org.masticspread.cell.engine;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.core.SingleEmitter;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.masticspread.cell.policy.AdviceLanes;
import org.masticspread.model.peer.AdviceReply;

/**
 * Spreads questions to the advisor over the VMs. They wait here and not at a VM, so that the most
 * urgent one goes to the next VM that is free; long ones never occupy all VMs ({@link
 * AdviceLanes}). Among the others those of gangs that hold room go first, then what has waited for
 * long, so that none starves, then by the latest start.
 */
public final class PriorityAdviceDispatcher implements AdviceDispatcher {
  /** Added to a call's time at the advisor: two hops between VMs and to the advisor. */
  private static final Duration OVERHEAD = Duration.ofMillis(8);

  /** How long an answer may take beyond the time that the call needs. */
  private static final Duration PATIENCE = Duration.ofMillis(400);

  /** After a VM did not answer, it is asked again so much later. */
  private static final Duration FAILED_PAUSE = Duration.ofMillis(1500);

  /** What waits longer names workers whose room has changed before it is answered. */
  private static final Duration LONGEST_QUEUE = Duration.ofMillis(1200);

  /** Urgent questions that wait while none is answered. */
  private static final int MOST_URGENT_WAITING = 200;

  /**
   * A request that has waited for so long goes before all that wait for less, urgent ones aside.
   */
  private static final Duration LONGEST_OVERTAKEN = Duration.ofSeconds(2);

  private final AdvisorClient caller;
  private final Supplier<List<String>> vms;
  private final InstantSource clock;
  private final AdviceLanes lanes = new AdviceLanes();
  private final List<Waiting> waiting = new ArrayList<>();
  private final Map<String, Call> calls = new HashMap<>();
  private final Map<String, Long> pausedUntil = new HashMap<>();
  private long asked;

  private record Waiting(
      Request request, long askedMillis, long number, SingleEmitter<AdviceReply> emitter) {
    boolean urgent() {
      return request.priority() == 0;
    }

    boolean overdue(long nowMillis) {
      return nowMillis - askedMillis > LONGEST_OVERTAKEN.toMillis();
    }
  }

  /** A call on its way, which occupies a VM. */
  private record Call(boolean urgent, long doneMillis) {}

  /**
   * Creates a desk.
   *
   * @param caller calls the advisor
   * @param vms the VMs that can call it
   * @param clock a steady clock
   */
  public PriorityAdviceDispatcher(
      AdvisorClient caller, Supplier<List<String>> vms, InstantSource clock) {
    this.caller = caller;
    this.vms = vms;
    this.clock = clock;
  }

  @Override
  public boolean accepts(int priority) {
    if (priority == 0) {
      return waiting.stream().filter(Waiting::urgent).count() < MOST_URGENT_WAITING;
    }
    long now = clock.millis();
    int count = vms.get().size();
    double ahead = 0;
    for (Waiting other : waiting) {
      ahead += other.request.callTime().toMillis();
    }
    for (Call call : calls.values()) {
      ahead += call.urgent ? 0 : Math.max(0, call.doneMillis - now);
    }
    return ahead / Math.max(1, count - lanes.kept(count, now)) < LONGEST_QUEUE.toMillis();
  }

  @Override
  public Single<AdviceReply> submit(Request request) {
    return Single.create(
        emitter -> {
          if (request.priority() == 0) {
            lanes.asked(request.callTime().plus(OVERHEAD), clock.millis());
          }
          waiting.add(new Waiting(request, clock.millis(), asked++, emitter));
          dispatch();
        });
  }

  @Override
  public void dispatch() {
    if (waiting.isEmpty()) {
      return;
    }
    List<String> free = free();
    int count = vms.get().size();
    long longCalls = calls.values().stream().filter(call -> !call.urgent).count();
    int mostLong = count - lanes.kept(count, clock.millis());
    waiting.sort(orderAt(clock.millis()));
    List<Waiting> held = new ArrayList<>();
    while (!free.isEmpty() && !waiting.isEmpty()) {
      Waiting next = waiting.remove(0);
      if (!next.request.stillNeeded().getAsBoolean()) {
        next.emitter.onSuccess(AdviceReply.NONE);
      } else if (next.urgent()) {
        send(next, free.remove(0));
      } else if (longCalls < mostLong) {
        longCalls++;
        send(next, free.remove(0));
      } else {
        held.add(next);
        break;
      }
    }
    waiting.addAll(held);
  }

  private static Comparator<Waiting> orderAt(long nowMillis) {
    return Comparator.<Waiting>comparingInt(waiting -> waiting.urgent() ? 0 : 1)
        .thenComparingInt(waiting -> waiting.request.holdsReservation() ? 0 : 1)
        .thenComparingLong(waiting -> waiting.overdue(nowMillis) ? waiting.number : Long.MAX_VALUE)
        .thenComparingLong(waiting -> waiting.request.latestStartMillis())
        .thenComparingLong(waiting -> waiting.number);
  }

  private List<String> free() {
    long now = clock.millis();
    List<String> free = new ArrayList<>();
    for (String vm : vms.get()) {
      boolean paused = pausedUntil.getOrDefault(vm, Long.MIN_VALUE) > now;
      if (!paused && !calls.containsKey(vm)) {
        free.add(vm);
      }
    }
    return free;
  }

  private void send(Waiting next, String vm) {
    Duration time = next.request.callTime().plus(OVERHEAD);
    calls.put(vm, new Call(next.urgent(), clock.millis() + time.toMillis()));
    var unused =
        caller
            .ask(vm, next.request.step(), next.request.workers(), time.plus(PATIENCE))
            .subscribe(reply -> answered(vm, next, reply));
  }

  private void answered(String vm, Waiting call, AdviceReply reply) {
    calls.remove(vm);
    if (reply.answered()) {
      pausedUntil.remove(vm);
    } else {
      pausedUntil.put(vm, clock.millis() + FAILED_PAUSE.toMillis());
    }
    call.emitter.onSuccess(reply);
    dispatch();
  }
}
