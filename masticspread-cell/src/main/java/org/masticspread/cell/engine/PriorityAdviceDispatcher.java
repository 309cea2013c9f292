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
import org.masticspread.cell.policy.UrgentCallReserve;
import org.masticspread.model.peer.AdviceReply;

/**
 * Spreads questions to the advisor over the VMs. They wait here and not at a VM, so that the most
 * urgent one goes to the next VM that is free; long ones never occupy all VMs ({@link
 * UrgentCallReserve}). Among the others those of gangs that hold room go first, then what has
 * waited for long, so that none starves, then by the latest start.
 */
public final class PriorityAdviceDispatcher implements AdviceDispatcher {
  /** Added to a call's time at the advisor: two hops between VMs and to the advisor. */
  private static final Duration NETWORK_OVERHEAD = Duration.ofMillis(8);

  /** How long an answer may take beyond the time that the call needs. */
  private static final Duration TIMEOUT_MARGIN = Duration.ofMillis(400);

  /** After a VM did not answer, it is asked again so much later. */
  private static final Duration FAILED_VM_BACKOFF = Duration.ofMillis(1500);

  /** What waits longer names workers whose room has changed before it is answered. */
  private static final Duration MAX_QUEUE_TIME = Duration.ofMillis(1200);

  /** Urgent questions that wait while none is answered. */
  private static final int MAX_URGENT_WAITING = 200;

  /**
   * A request that has waited for so long goes before all that wait for less, urgent ones aside.
   */
  private static final Duration OVERDUE_AFTER = Duration.ofSeconds(2);

  private final AdvisorClient advisor;
  private final Supplier<List<String>> vms;
  private final InstantSource clock;
  private final UrgentCallReserve urgentReserve = new UrgentCallReserve();
  private final List<PendingRequest> pending = new ArrayList<>();
  private final Map<String, Call> callsInFlight = new HashMap<>();
  private final Map<String, Long> backoffUntilMillis = new HashMap<>();
  private long asked;

  private record PendingRequest(
      Request request, long submittedMillis, long sequence, SingleEmitter<AdviceReply> emitter) {
    boolean urgent() {
      return request.priority() == 0;
    }

    boolean overdue(long nowMillis) {
      return nowMillis - submittedMillis > OVERDUE_AFTER.toMillis();
    }
  }

  /** A call on its way, which occupies a VM. */
  private record Call(boolean urgent, long expectedEndMillis) {}

  /**
   * Creates a desk.
   *
   * @param advisor calls the advisor
   * @param vms the VMs that can call it
   * @param clock a steady clock
   */
  public PriorityAdviceDispatcher(
      AdvisorClient advisor, Supplier<List<String>> vms, InstantSource clock) {
    this.advisor = advisor;
    this.vms = vms;
    this.clock = clock;
  }

  @Override
  public boolean accepts(int priority) {
    if (priority == 0) {
      return pending.stream().filter(PendingRequest::urgent).count() < MAX_URGENT_WAITING;
    }
    long now = clock.millis();
    int vmCount = vms.get().size();
    double queuedMillis = 0;
    for (PendingRequest other : pending) {
      queuedMillis += other.request.callTime().toMillis();
    }
    for (Call call : callsInFlight.values()) {
      queuedMillis += call.urgent ? 0 : Math.max(0, call.expectedEndMillis - now);
    }
    return queuedMillis / Math.max(1, vmCount - urgentReserve.reservedVms(vmCount, now))
        < MAX_QUEUE_TIME.toMillis();
  }

  @Override
  public Single<AdviceReply> submit(Request request) {
    return Single.create(
        emitter -> {
          if (request.priority() == 0) {
            urgentReserve.recordUrgentCall(
                request.callTime().plus(NETWORK_OVERHEAD), clock.millis());
          }
          pending.add(new PendingRequest(request, clock.millis(), asked++, emitter));
          dispatch();
        });
  }

  @Override
  public void dispatch() {
    if (pending.isEmpty()) {
      return;
    }
    List<String> idleVms = idleVms();
    int vmCount = vms.get().size();
    long nonUrgentCalls = callsInFlight.values().stream().filter(call -> !call.urgent).count();
    int maxNonUrgentCalls = vmCount - urgentReserve.reservedVms(vmCount, clock.millis());
    pending.sort(orderAt(clock.millis()));
    List<PendingRequest> deferred = new ArrayList<>();
    while (!idleVms.isEmpty() && !pending.isEmpty()) {
      PendingRequest next = pending.remove(0);
      if (!next.request.stillNeeded().getAsBoolean()) {
        next.emitter.onSuccess(AdviceReply.NONE);
      } else if (next.urgent()) {
        send(next, idleVms.remove(0));
      } else if (nonUrgentCalls < maxNonUrgentCalls) {
        nonUrgentCalls++;
        send(next, idleVms.remove(0));
      } else {
        deferred.add(next);
        break;
      }
    }
    pending.addAll(deferred);
  }

  private static Comparator<PendingRequest> orderAt(long nowMillis) {
    return Comparator.<PendingRequest>comparingInt(pending -> pending.urgent() ? 0 : 1)
        .thenComparingInt(pending -> pending.request.holdsReservation() ? 0 : 1)
        .thenComparingLong(
            pending -> pending.overdue(nowMillis) ? pending.sequence : Long.MAX_VALUE)
        .thenComparingLong(pending -> pending.request.latestStartMillis())
        .thenComparingLong(pending -> pending.sequence);
  }

  private List<String> idleVms() {
    long now = clock.millis();
    List<String> idleVms = new ArrayList<>();
    for (String vm : vms.get()) {
      boolean backingOff = backoffUntilMillis.getOrDefault(vm, Long.MIN_VALUE) > now;
      if (!backingOff && !callsInFlight.containsKey(vm)) {
        idleVms.add(vm);
      }
    }
    return idleVms;
  }

  private void send(PendingRequest next, String vm) {
    Duration time = next.request.callTime().plus(NETWORK_OVERHEAD);
    callsInFlight.put(vm, new Call(next.urgent(), clock.millis() + time.toMillis()));
    var unused =
        advisor
            .ask(vm, next.request.step(), next.request.workers(), time.plus(TIMEOUT_MARGIN))
            .subscribe(reply -> handleReply(vm, next, reply));
  }

  private void handleReply(String vm, PendingRequest call, AdviceReply reply) {
    callsInFlight.remove(vm);
    if (reply.answered()) {
      backoffUntilMillis.remove(vm);
    } else {
      backoffUntilMillis.put(vm, clock.millis() + FAILED_VM_BACKOFF.toMillis());
    }
    call.emitter.onSuccess(reply);
    dispatch();
  }
}
