package org.masticspread.policy.request.internal;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.config.EndpointConfig;
import org.masticspread.model.id.EndpointId;
import org.masticspread.model.id.PoolId;
import org.masticspread.model.id.RequestKey;
import org.masticspread.model.peer.HomeDigest;
import org.masticspread.model.platform.EndpointOutcome;
import org.masticspread.model.result.ResultCode;
import org.masticspread.model.work.RequestSpec;
import org.masticspread.policy.request.Admission;
import org.masticspread.policy.request.Completion;
import org.masticspread.policy.request.Conclusion;
import org.masticspread.policy.request.Dispatch;
import org.masticspread.policy.request.RequestLimits;
import org.masticspread.policy.request.internal.FairQueue.Choice;
import org.masticspread.policy.request.internal.FairQueue.Stage;

/** The scheduler of one pool; its callers hold the lock of the request scheduler. */
public final class PoolScheduler {
  private static final Duration RETRY_AFTER = Duration.ofMillis(100);

  private final PoolId pool;
  private final RequestLimits limits;
  private final DecisionLog log;
  private final Shares shares = new Shares();
  private final Router router;
  private final FairQueue fairQueue;
  private final Gate gate;
  private final Reserve reserve = new Reserve();
  private final ExpiryHeap expiries = new ExpiryHeap();
  private final Attempts attempts;
  private final Map<RequestKey, Entry> entries = new HashMap<>();
  private final List<Conclusion> expired = new ArrayList<>();
  private final RateMeter answers = new RateMeter();
  private int queued;
  private long queuedBytes;

  /**
   * Creates a scheduler without endpoints.
   *
   * @param pool the pool
   * @param limits the bounds
   * @param random the source of random numbers
   * @param log where to keep decisions
   */
  public PoolScheduler(
      PoolId pool, RequestLimits limits, UniformRandomProvider random, DecisionLog log) {
    this.pool = pool;
    this.limits = limits;
    this.log = log;
    this.router = new Router(random, limits.ejectedPart());
    this.fairQueue = new FairQueue(limits.burst().toNanos());
    this.gate = new Gate(limits, shares, router);
    this.attempts = new Attempts(limits, router);
  }

  /**
   * Takes in a configuration.
   *
   * @param configuration the configuration
   * @param homed the endpoints of this pool whose home is here
   * @param now the instant
   * @return the outcome of waiting requests whose class is gone
   */
  public List<Conclusion> configure(
      Configuration configuration, List<EndpointConfig> homed, Instant now) {
    router.configure(homed);
    shares.teams().forEach(fairQueue::remove);
    List<ClassQueue> gone = shares.configure(configuration, pool);
    shares.spread(router.slots());
    shares.teams().forEach(fairQueue::add);
    List<Conclusion> conclusions = new ArrayList<>();
    for (ClassQueue queue : gone) {
      while (queue.isBacklogged()) {
        Entry entry = queue.entries.first();
        conclusions.add(
            concludeWaiting(entry, now, ResultCode.NOT_FOUND, "its work class is gone"));
      }
    }
    return conclusions;
  }

  /**
   * Replaces the set of endpoints that are about to leave.
   *
   * @param endpoints the endpoints
   * @return this scheduler
   */
  public PoolScheduler setLeaving(Set<EndpointId> endpoints) {
    router.setLeaving(endpoints);
    respread();
    return this;
  }

  private void respread() {
    shares.teams().forEach(fairQueue::remove);
    shares.spread(router.slots());
    shares.teams().forEach(fairQueue::add);
  }

  /**
   * Counts slots of an endpoint as taken by its former home.
   *
   * @param endpoint the endpoint
   * @param slots the slots
   * @param until when they are free at the latest
   */
  public void holdSlots(EndpointId endpoint, int slots, Instant until) {
    router.holdFormer(endpoint, slots, Times.nanos(until));
  }

  /**
   * Frees the slots that a former home held.
   *
   * @param endpoint the endpoint
   */
  public void releaseHeldSlots(EndpointId endpoint) {
    router.releaseFormer(endpoint);
  }

  /**
   * Offers a request.
   *
   * @param request the request
   * @param now the instant
   * @return what became of it
   */
  public Admission offer(RequestSpec request, Instant now) {
    final ClassQueue queue = shares.find(request.classKey());
    if (queue == null) {
      return new Admission.Refused(
          ResultCode.NOT_FOUND, Duration.ZERO, "there is no work class " + request.classKey());
    }
    if (entries.containsKey(request.key())) {
      return new Admission.Refused(
          ResultCode.OUTCOME_UNKNOWN, Duration.ZERO, "a request of this id is already here");
    }
    long nanos = Times.nanos(now);
    router.advance(nanos);
    Entry entry = new Entry(request, queue);
    Admission.Refused refused = gate.refuse(entry, nanos, hasSlotAtOnce(queue, nanos));
    if (refused != null) {
      log.add(request.key(), now, "refused", refused.reason());
      return refused;
    }
    List<Conclusion> evicted = new ArrayList<>();
    while (queued >= limits.queuedRequests()
        || queuedBytes + entry.sizeBytes() > limits.queuedBytes()) {
      Entry victim = gate.victimFor(entry, nanos);
      if (victim == null) {
        expired.addAll(evicted);
        return new Admission.Refused(
            ResultCode.OVERLOADED, RETRY_AFTER, "the queue of this VM is full");
      }
      evicted.add(concludeWaiting(victim, now, ResultCode.OVERLOADED, "made room for other work"));
    }
    entries.put(request.key(), entry);
    joinQueue(entry, nanos, false);
    return new Admission.Admitted(evicted);
  }

  private boolean hasSlotAtOnce(ClassQueue queue, long now) {
    return !queue.isBacklogged() && router.freeSlots() > reserve.slots(now, router.slots());
  }

  private void joinQueue(Entry entry, long now, boolean first) {
    queued++;
    queuedBytes += entry.sizeBytes();
    entry.queuedAt = now;
    expiries.add(entry, gate.tooLateAt(entry));
    ClassQueue queue = entry.queue;
    if (queue.isBacklogged() && !first) {
      queue.entries.addLast(entry);
      return;
    }
    boolean wasIdle = !queue.team.isBacklogged();
    fairQueue.change(
        queue.team,
        () -> {
          queue.entries.addFirst(entry);
          if (wasIdle) {
            fairQueue.resume(queue.team);
          }
        });
    queue.drain.backlogged(now);
  }

  private void leaveQueue(Entry entry) {
    ClassQueue queue = entry.queue;
    if (queue.entries.first() == entry) {
      fairQueue.change(queue.team, () -> queue.entries.remove(entry));
    } else {
      queue.entries.remove(entry);
    }
    queued--;
    queuedBytes -= entry.sizeBytes();
    expiries.forget();
    if (!queue.isBacklogged()) {
      queue.drain.drained();
    }
  }

  /**
   * Chooses the next request to send and its endpoint.
   *
   * @param now the instant
   * @return the dispatch, or empty when nothing may be sent now
   */
  public Optional<Dispatch> next(Instant now) {
    long nanos = Times.nanos(now);
    router.advance(nanos);
    collectExpired(now, nanos);
    int free = router.freeSlots();
    if (free == 0) {
      return Optional.empty();
    }
    int reserved = reserve.slots(nanos, router.slots());
    Choice choice = fairQueue.choose(nanos, free, reserved);
    if (choice != null) {
      return Optional.of(send(choice, now, nanos));
    }
    return free > reserved ? hedge(now, nanos) : Optional.empty();
  }

  private Dispatch send(Choice choice, Instant now, long nanos) {
    ClassQueue queue = choice.queue();
    Entry entry = queue.entries.first();
    leaveQueue(entry);
    Flight flight = attempts.start(entry, choice, nanos, false);
    queue.drain.served(nanos, flight.estimateNanos);
    if (choice.stage() == Stage.CLASS_FLOOR && Gate.isUrgent(queue)) {
      reserve.served(flight.chargedNanos);
    }
    return dispatched(flight, now, nanos);
  }

  private Optional<Dispatch> hedge(Instant now, long nanos) {
    Flight late = attempts.lateFlight(nanos);
    if (late == null) {
      return Optional.empty();
    }
    Choice choice = new Choice(late.entry.queue, Stage.SPARE);
    return Optional.of(dispatched(attempts.start(late.entry, choice, nanos, true), now, nanos));
  }

  private Dispatch dispatched(Flight flight, Instant now, long nanos) {
    TeamAccount team = flight.entry.queue.team;
    fairQueue.change(team, () -> fairQueue.charge(flight.choice, nanos, flight.chargedNanos));
    log.add(
        flight.entry.request.key(),
        now,
        flight.hedge ? "hedged" : "sent",
        "to " + flight.backend.config.name() + ", entitled by " + flight.choice.stage());
    return attempts.toDispatch(flight, nanos);
  }

  /**
   * Takes in the end of a dispatch.
   *
   * @param dispatch the dispatch
   * @param outcome how it ended
   * @param took how long it took
   * @param now the instant
   * @return what follows
   */
  public Completion finished(
      Dispatch dispatch, EndpointOutcome outcome, Duration took, Instant now) {
    long nanos = Times.nanos(now);
    Flight flight = attempts.end(dispatch.number(), outcome, took.toNanos(), nanos);
    if (flight == null) {
      return new Completion.Dropped("this dispatch is not in flight");
    }
    Entry entry = flight.entry;
    boolean notRun = isNotRun(outcome);
    double cost = notRun ? 0 : attempts.atMeanSpeed(flight, took.toNanos());
    fairQueue.change(
        entry.queue.team, () -> fairQueue.correct(flight.choice, cost - flight.chargedNanos));
    entry.mayHaveRun |= !notRun;
    if (entry.concluded) {
      return new Completion.Dropped("another attempt has concluded");
    }
    boolean answered = outcome == EndpointOutcome.ANSWERED || outcome == EndpointOutcome.ERROR;
    if (!answered && (entry.inFlight > 0 || entry.queued)) {
      return new Completion.Dropped("another attempt is in flight");
    }
    if (!answered && attempts.mayRetry(entry, outcome, nanos)) {
      joinQueue(entry, nanos, true);
      log.add(entry.request.key(), now, "retried", "the attempt ended with " + outcome);
      return new Completion.Retried("the attempt ended with " + outcome);
    }
    answers.mark(nanos);
    ResultCode code = Attempts.codeOf(outcome, entry.mayHaveRun);
    String reason = answered ? "" : "the last attempt ended with " + outcome;
    return new Completion.Deliver(conclude(entry, now, code, reason));
  }

  private static boolean isNotRun(EndpointOutcome outcome) {
    return outcome == EndpointOutcome.BUSY || outcome == EndpointOutcome.CONNECT_FAILED;
  }

  private Conclusion concludeWaiting(Entry entry, Instant now, ResultCode code, String reason) {
    leaveQueue(entry);
    return conclude(entry, now, entry.mayHaveRun ? ResultCode.OUTCOME_UNKNOWN : code, reason);
  }

  private Conclusion conclude(Entry entry, Instant now, ResultCode code, String reason) {
    entry.concluded = true;
    entries.remove(entry.request.key());
    log.add(entry.request.key(), now, "concluded", code + (reason.isEmpty() ? "" : ": " + reason));
    Duration retryAfter = code.isRetryable() ? RETRY_AFTER : Duration.ZERO;
    return new Conclusion(entry.request, code, reason, retryAfter);
  }

  private void collectExpired(Instant now, long nanos) {
    Entry entry = expiries.poll(nanos);
    while (entry != null) {
      boolean passed = entry.answerBy <= nanos;
      ResultCode code = passed ? ResultCode.DEADLINE_PASSED : ResultCode.OVERLOADED;
      expired.add(concludeWaiting(entry, now, code, "it can no longer be answered in time"));
      entry = expiries.poll(nanos);
    }
  }

  /**
   * Returns the outcome of waiting requests that can no longer be answered in time.
   *
   * @param now the instant
   * @return the outcomes since the last call
   */
  public List<Conclusion> expire(Instant now) {
    collectExpired(now, Times.nanos(now));
    List<Conclusion> result = List.copyOf(expired);
    expired.clear();
    return result;
  }

  /**
   * Cancels a request that waits.
   *
   * @param key the request
   * @param now the instant
   * @return its outcome, or empty when it does not wait here
   */
  public Optional<Conclusion> cancel(RequestKey key, Instant now) {
    Entry entry = entries.get(key);
    if (entry == null || !entry.queued) {
      return Optional.empty();
    }
    return Optional.of(
        concludeWaiting(entry, now, ResultCode.CANCELLED, "cancelled while it waited"));
  }

  /**
   * Returns the requests in flight at an endpoint.
   *
   * @param endpoint the endpoint
   * @return their number
   */
  public int inFlight(EndpointId endpoint) {
    return router.inFlight(endpoint);
  }

  /**
   * Returns the load of this pool.
   *
   * @param now the instant
   * @return the load
   */
  public HomeDigest digest(Instant now) {
    double perSecond = answers.perSecond(Times.nanos(now));
    return new HomeDigest(router.slots(), router.busySlots(), queued, perSecond);
  }
}
