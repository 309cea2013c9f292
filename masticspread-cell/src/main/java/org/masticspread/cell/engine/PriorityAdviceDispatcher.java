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
 * Distributes requests for advice over the VMs. Requests are queued here rather than at a VM, so
 * that the most urgent one is sent by the next idle VM. Non-urgent requests, whose calls are long,
 * leave free the VMs that {@link UrgentCallReserve} keeps for urgent ones. Among them, requests of
 * gangs that hold a reservation come first, then overdue ones in the order of their arrival to
 * prevent starvation, then the others by latest start.
 */
public final class PriorityAdviceDispatcher implements AdviceDispatcher {
  /** Network time of a call: two hops, between VMs and to the advisor. */
  private static final Duration NETWORK_OVERHEAD = Duration.ofMillis(8);

  /** Added to the expected duration of a call to get its timeout. */
  private static final Duration TIMEOUT_MARGIN = Duration.ofMillis(400);

  /** How long no request is sent to a VM after one of its calls got no answer. */
  private static final Duration FAILED_VM_BACKOFF = Duration.ofMillis(1500);

  /**
   * Maximum queueing time at which a non-urgent request is accepted. By the time that a later
   * answer arrives, the free capacity of the workers has changed.
   */
  private static final Duration MAX_QUEUE_TIME = Duration.ofMillis(1200);

  /** Maximum number of pending urgent requests. */
  private static final int MAX_URGENT_WAITING = 200;

  /**
   * Age at which a request goes ahead of younger ones whose latest start is earlier; urgent
   * requests and those with a reservation still come first.
   */
  private static final Duration OVERDUE_AFTER = Duration.ofSeconds(2);

  private final AdvisorClient advisor;
  private final Supplier<List<String>> vms;
  private final InstantSource clock;
  private final UrgentCallReserve urgentReserve = new UrgentCallReserve();
  private final List<PendingRequest> pending = new ArrayList<>();
  private final Map<String, Call> callsInFlight = new HashMap<>();
  private final Map<String, Long> backoffUntilMillis = new HashMap<>();
  private long submitted;

  /** A request that waits for an idle VM. */
  private record PendingRequest(
      Request request, long submittedMillis, long sequence, SingleEmitter<AdviceReply> emitter) {
    boolean urgent() {
      return request.priority() == 0;
    }

    boolean overdue(long nowMillis) {
      return nowMillis - submittedMillis > OVERDUE_AFTER.toMillis();
    }
  }

  /** A call in flight, which occupies its VM. */
  private record Call(boolean urgent, long expectedEndMillis) {}

  /**
   * Creates a dispatcher without requests.
   *
   * @param advisor calls the advisor
   * @param vms the VMs that can make calls
   * @param clock a monotonic clock
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
          pending.add(new PendingRequest(request, clock.millis(), submitted++, emitter));
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
    return Comparator.<PendingRequest>comparingInt(other -> other.urgent() ? 0 : 1)
        .thenComparingInt(other -> other.request.holdsReservation() ? 0 : 1)
        .thenComparingLong(other -> other.overdue(nowMillis) ? other.sequence : Long.MAX_VALUE)
        .thenComparingLong(other -> other.request.latestStartMillis())
        .thenComparingLong(other -> other.sequence);
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

  private void handleReply(String vm, PendingRequest answered, AdviceReply reply) {
    callsInFlight.remove(vm);
    if (reply.answered()) {
      backoffUntilMillis.remove(vm);
    } else {
      backoffUntilMillis.put(vm, clock.millis() + FAILED_VM_BACKOFF.toMillis());
    }
    answered.emitter.onSuccess(reply);
    dispatch();
  }
}
