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

/** The scheduler of one pool. Callers must hold the lock of the request scheduler. */
public final class PoolScheduler {
  private static final Duration RETRY_AFTER = Duration.ofMillis(100);

  private final PoolId pool;
  private final RequestLimits limits;
  private final DecisionLog log;
  private final Shares shares = new Shares();
  private final Router router;
  private final FairQueue fairQueue;
  private final AdmissionControl admission;
  private final UrgentReserve reserve = new UrgentReserve();
  private final ExpiryHeap expiries = new ExpiryHeap();
  private final AttemptTracker attempts;
  private final Map<RequestKey, Entry> entries = new HashMap<>();
  private final List<Conclusion> expired = new ArrayList<>();
  private final RateMeter answerRate = new RateMeter();
  private int queued;
  private long queuedBytes;

  /**
   * Creates a scheduler without endpoints.
   *
   * @param pool the pool
   * @param limits the limits
   * @param random the source of random numbers
   * @param log the log of decisions
   */
  public PoolScheduler(
      PoolId pool, RequestLimits limits, UniformRandomProvider random, DecisionLog log) {
    this.pool = pool;
    this.limits = limits;
    this.log = log;
    this.router = new Router(random, limits.maxEjectedFraction());
    this.fairQueue = new FairQueue(limits.burst().toNanos());
    this.admission = new AdmissionControl(limits, shares, router);
    this.attempts = new AttemptTracker(limits, router);
  }

  /**
   * Applies a configuration.
   *
   * @param configuration the configuration
   * @param homeEndpoints the endpoints of this pool whose home is this VM
   * @param now the current time
   * @return the results of queued requests whose work class no longer exists
   */
  public List<Conclusion> configure(
      Configuration configuration, List<EndpointConfig> homeEndpoints, Instant now) {
    router.configure(homeEndpoints);
    shares.teams().forEach(fairQueue::remove);
    List<ClassQueue> removed = shares.configure(configuration, pool);
    shares.distribute(router.slots());
    shares.teams().forEach(fairQueue::add);
    List<Conclusion> conclusions = new ArrayList<>();
    for (ClassQueue queue : removed) {
      while (queue.isBacklogged()) {
        Entry entry = queue.entries.first();
        conclusions.add(
            concludeWaiting(entry, now, ResultCode.NOT_FOUND, "its work class no longer exists"));
      }
    }
    return conclusions;
  }

  /**
   * Replaces the set of leaving endpoints.
   *
   * @param endpoints the endpoints
   * @return this scheduler
   */
  public PoolScheduler setLeaving(Set<EndpointId> endpoints) {
    router.setLeaving(endpoints);
    redistributeShares();
    return this;
  }

  private void redistributeShares() {
    shares.teams().forEach(fairQueue::remove);
    shares.distribute(router.slots());
    shares.teams().forEach(fairQueue::add);
  }

  /**
   * Counts slots of an endpoint as occupied by its former home.
   *
   * @param endpoint the endpoint
   * @param slots the number of slots
   * @param until when they become free at the latest
   */
  public void holdSlots(EndpointId endpoint, int slots, Instant until) {
    router.holdForFormerHome(endpoint, slots, Times.nanos(until));
  }

  /**
   * Frees the slots held for the former home of an endpoint.
   *
   * @param endpoint the endpoint
   */
  public void releaseHeldSlots(EndpointId endpoint) {
    router.releaseFormerHold(endpoint);
  }

  /**
   * Offers a request for admission.
   *
   * @param request the request
   * @param now the current time
   * @return whether it was admitted or refused
   */
  public Admission offer(RequestSpec request, Instant now) {
    final ClassQueue queue = shares.find(request.classKey());
    if (queue == null) {
      return new Admission.Refused(
          ResultCode.NOT_FOUND, Duration.ZERO, "there is no work class " + request.classKey());
    }
    if (entries.containsKey(request.key())) {
      return new Admission.Refused(
          ResultCode.OUTCOME_UNKNOWN,
          Duration.ZERO,
          "a request with this id is already queued or in flight");
    }
    long nanos = Times.nanos(now);
    router.advance(nanos);
    Entry entry = new Entry(request, queue);
    Admission.Refused refused = admission.check(entry, nanos, canStartAtOnce(queue, nanos));
    if (refused != null) {
      log.add(request.key(), now, "refused", refused.reason());
      return refused;
    }
    List<Conclusion> evicted = new ArrayList<>();
    while (queued >= limits.maxQueuedRequests()
        || queuedBytes + entry.sizeBytes() > limits.maxQueuedBytes()) {
      Entry victim = admission.victimFor(entry, nanos);
      if (victim == null) {
        expired.addAll(evicted);
        return new Admission.Refused(
            ResultCode.OVERLOADED, RETRY_AFTER, "the queue of this VM is full");
      }
      evicted.add(
          concludeWaiting(
              victim, now, ResultCode.OVERLOADED, "evicted to make room for other work"));
    }
    entries.put(request.key(), entry);
    enqueue(entry, nanos, false);
    return new Admission.Admitted(evicted);
  }

  private boolean canStartAtOnce(ClassQueue queue, long now) {
    return !queue.isBacklogged() && router.freeSlots() > reserve.reservedSlots(now, router.slots());
  }

  private void enqueue(Entry entry, long now, boolean atFront) {
    queued++;
    queuedBytes += entry.sizeBytes();
    entry.queuedAt = now;
    expiries.add(entry, admission.startDeadline(entry));
    ClassQueue queue = entry.queue;
    if (queue.isBacklogged() && !atFront) {
      queue.entries.addLast(entry);
      return;
    }
    boolean wasIdle = !queue.team.isBacklogged();
    fairQueue.update(
        queue.team,
        () -> {
          queue.entries.addFirst(entry);
          if (wasIdle) {
            fairQueue.resume(queue.team);
          }
        });
    queue.drainRate.start(now);
  }

  private void dequeue(Entry entry) {
    ClassQueue queue = entry.queue;
    if (queue.entries.first() == entry) {
      fairQueue.update(queue.team, () -> queue.entries.remove(entry));
    } else {
      queue.entries.remove(entry);
    }
    queued--;
    queuedBytes -= entry.sizeBytes();
    expiries.markStale();
    if (!queue.isBacklogged()) {
      queue.drainRate.stop();
    }
  }

  /**
   * Chooses the next request to send and its endpoint.
   *
   * @param now the current time
   * @return the dispatch, or empty if nothing may be sent now
   */
  public Optional<Dispatch> next(Instant now) {
    long nanos = Times.nanos(now);
    router.advance(nanos);
    collectExpired(now, nanos);
    int free = router.freeSlots();
    if (free == 0) {
      return Optional.empty();
    }
    int reserved = reserve.reservedSlots(nanos, router.slots());
    Choice choice = fairQueue.choose(nanos, free, reserved);
    if (choice != null) {
      return Optional.of(send(choice, now, nanos));
    }
    return free > reserved ? hedge(now, nanos) : Optional.empty();
  }

  private Dispatch send(Choice choice, Instant now, long nanos) {
    ClassQueue queue = choice.queue();
    Entry entry = queue.entries.first();
    dequeue(entry);
    Attempt attempt = attempts.start(entry, choice, nanos, false);
    queue.drainRate.addServed(nanos, attempt.estimateNanos);
    if (choice.stage() == Stage.CLASS_FLOOR && AdmissionControl.isUrgent(queue)) {
      reserve.addServed(attempt.chargedNanos);
    }
    return dispatched(attempt, now, nanos);
  }

  private Optional<Dispatch> hedge(Instant now, long nanos) {
    Attempt late = attempts.nextToHedge(nanos);
    if (late == null) {
      return Optional.empty();
    }
    Choice choice = new Choice(late.entry.queue, Stage.SPARE);
    return Optional.of(dispatched(attempts.start(late.entry, choice, nanos, true), now, nanos));
  }

  private Dispatch dispatched(Attempt attempt, Instant now, long nanos) {
    TeamAccount team = attempt.entry.queue.team;
    fairQueue.update(team, () -> fairQueue.charge(attempt.choice, nanos, attempt.chargedNanos));
    log.add(
        attempt.entry.request.key(),
        now,
        attempt.hedge ? "hedged" : "sent",
        "to " + attempt.backend.config.name() + ", entitled by " + attempt.choice.stage());
    return attempts.toDispatch(attempt, nanos);
  }

  /**
   * Records the end of a dispatch.
   *
   * @param dispatch the dispatch
   * @param outcome how it ended
   * @param took how long it took
   * @param now the current time
   * @return the consequence for the request
   */
  public Completion finished(
      Dispatch dispatch, EndpointOutcome outcome, Duration took, Instant now) {
    long nanos = Times.nanos(now);
    Attempt attempt = attempts.end(dispatch.number(), outcome, took.toNanos(), nanos);
    if (attempt == null) {
      return new Completion.Dropped("this dispatch is not in flight");
    }
    Entry entry = attempt.entry;
    boolean notRun = isNotRun(outcome);
    double cost = notRun ? 0 : attempts.atMeanSpeed(attempt, took.toNanos());
    fairQueue.update(
        entry.queue.team, () -> fairQueue.correct(attempt.choice, cost - attempt.chargedNanos));
    entry.mayHaveRun |= !notRun;
    if (entry.concluded) {
      return new Completion.Dropped("another attempt has concluded");
    }
    boolean answered = outcome == EndpointOutcome.ANSWERED || outcome == EndpointOutcome.ERROR;
    if (!answered && (entry.inFlight > 0 || entry.queued)) {
      return new Completion.Dropped("another attempt is in flight");
    }
    if (!answered && attempts.mayRetry(entry, outcome, nanos)) {
      enqueue(entry, nanos, true);
      log.add(entry.request.key(), now, "retried", "the attempt ended with " + outcome);
      return new Completion.Retried("the attempt ended with " + outcome);
    }
    answerRate.recordEvent(nanos);
    ResultCode code = AttemptTracker.codeOf(outcome, entry.mayHaveRun);
    String reason = answered ? "" : "the last attempt ended with " + outcome;
    return new Completion.Deliver(conclude(entry, now, code, reason));
  }

  private static boolean isNotRun(EndpointOutcome outcome) {
    return outcome == EndpointOutcome.BUSY || outcome == EndpointOutcome.CONNECT_FAILED;
  }

  private Conclusion concludeWaiting(Entry entry, Instant now, ResultCode code, String reason) {
    dequeue(entry);
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
   * Expires queued requests that can no longer be answered in time.
   *
   * @param now the current time
   * @return the results of the requests expired since the last call
   */
  public List<Conclusion> expire(Instant now) {
    collectExpired(now, Times.nanos(now));
    List<Conclusion> result = List.copyOf(expired);
    expired.clear();
    return result;
  }

  /**
   * Cancels a queued request.
   *
   * @param key the request
   * @param now the current time
   * @return its result, or empty if it is not queued here
   */
  public Optional<Conclusion> cancel(RequestKey key, Instant now) {
    Entry entry = entries.get(key);
    if (entry == null || !entry.queued) {
      return Optional.empty();
    }
    return Optional.of(concludeWaiting(entry, now, ResultCode.CANCELLED, "cancelled while queued"));
  }

  /**
   * Returns the number of requests in flight at an endpoint.
   *
   * @param endpoint the endpoint
   * @return the number
   */
  public int inFlight(EndpointId endpoint) {
    return router.inFlight(endpoint);
  }

  /**
   * Returns the load of this pool.
   *
   * @param now the current time
   * @return the load
   */
  public HomeDigest digest(Instant now) {
    double perSecond = answerRate.perSecond(Times.nanos(now));
    return new HomeDigest(router.slots(), router.busySlots(), queued, perSecond);
  }
}
