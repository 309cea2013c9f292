package org.masticspread.policy.request.internal;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import org.masticspread.model.platform.EndpointOutcome;
import org.masticspread.model.result.ResultCode;
import org.masticspread.model.work.Urgency;
import org.masticspread.policy.request.Dispatch;
import org.masticspread.policy.request.RequestLimits;
import org.masticspread.policy.request.internal.FairQueue.Choice;

/** Tracks the attempts in flight, their timeouts, and the retry and hedge budgets. */
final class AttemptTracker {
  private static final long MIN_TIMEOUT_NANOS = Duration.ofMillis(100).toNanos();
  private static final long MIN_HOLD_NANOS = Duration.ofMillis(50).toNanos();
  private static final double TIMEOUT_FACTOR = 3;
  private static final double SLOW_ENDPOINT_FACTOR = 4;

  private final RequestLimits limits;
  private final Router router;
  private final TokenBudget retries;
  private final TokenBudget hedges;
  private final Map<Long, Attempt> inFlight = new HashMap<>();
  private final PriorityQueue<Attempt> hedgeCandidates =
      new PriorityQueue<>(Comparator.comparingLong(attempt -> attempt.hedgeAt));
  private long lastNumber;

  AttemptTracker(RequestLimits limits, Router router) {
    this.limits = limits;
    this.router = router;
    this.retries = new TokenBudget(limits.retryTokensPerAttempt());
    this.hedges = new TokenBudget(limits.hedgeTokensPerAttempt());
  }

  /** Starts an attempt on a free slot of an endpoint; at least one slot must be free. */
  Attempt start(Entry entry, Choice choice, long now, boolean hedge) {
    ServiceTime service = entry.queue.serviceTime;
    Backend backend = router.choose(entry.lastEndpoint, toleratesSlowEndpoint(entry, now));
    long hedgeAt = now + (long) (service.upperBoundNanos() * backend.slowness);
    double estimate = service.meanNanos() * backend.slowness;
    double charge = service.meanNanos() * router.meanSlowness();
    Attempt attempt =
        new Attempt(++lastNumber, entry, backend, choice, estimate, charge, hedgeAt, hedge);
    inFlight.put(attempt.number, attempt);
    router.started(backend);
    entry.inFlight++;
    entry.attempts++;
    entry.lastEndpoint = backend.config.name();
    if (entry.attempts == 1) {
      retries.earn();
      hedges.earn();
    }
    if (!hedge && entry.request.idempotent() && AdmissionControl.isUrgent(entry.queue)) {
      hedgeCandidates.add(attempt);
    }
    return attempt;
  }

  private static boolean toleratesSlowEndpoint(Entry entry, long now) {
    double requiredNanos = SLOW_ENDPOINT_FACTOR * entry.queue.serviceTime.upperBoundNanos();
    return entry.queue.urgency() == Urgency.DEFERRABLE && entry.answerBy - now > requiredNanos;
  }

  Dispatch toDispatch(Attempt attempt, long now) {
    Entry entry = attempt.entry;
    return new Dispatch(
        attempt.number,
        entry.request,
        attempt.backend.config,
        entry.attempts,
        attempt.hedge,
        timeout(attempt, now));
  }

  private Duration timeout(Attempt attempt, long now) {
    long remaining = attempt.entry.answerBy - now;
    if (!attempt.entry.request.idempotent() || !attempt.entry.queue.serviceTime.isKnown()) {
      return Duration.ofNanos(remaining);
    }
    double upper = attempt.entry.queue.serviceTime.upperBoundNanos() * attempt.backend.slowness;
    long limit = Math.max(MIN_TIMEOUT_NANOS, (long) (TIMEOUT_FACTOR * upper));
    return Duration.ofNanos(Math.min(remaining, limit));
  }

  /** Returns an attempt that is overdue and should be hedged at another endpoint, or null. */
  Attempt nextToHedge(long now) {
    while (!hedgeCandidates.isEmpty()) {
      Attempt attempt = hedgeCandidates.peek();
      if (!attempt.ended && attempt.hedgeAt > now) {
        return null;
      }
      hedgeCandidates.poll();
      Entry entry = attempt.entry;
      boolean useful = !attempt.ended && !entry.concluded && entry.inFlight == 1;
      if (useful
          && entry.answerBy > now
          && entry.attempts < limits.maxAttempts()
          && hedges.trySpend()) {
        return attempt;
      }
    }
    return null;
  }

  /** Converts the slot time of a call to its equivalent at the mean speed of the pool. */
  double atMeanSpeed(Attempt attempt, long tookNanos) {
    return tookNanos / attempt.backend.slowness * router.meanSlowness();
  }

  /** Ends an attempt and frees or holds its slot; returns null if it is not in flight. */
  Attempt end(long number, EndpointOutcome outcome, long tookNanos, long now) {
    Attempt attempt = inFlight.remove(number);
    if (attempt == null) {
      return null;
    }
    attempt.ended = true;
    attempt.entry.inFlight--;
    ServiceTime service = attempt.entry.queue.serviceTime;
    router.ended(attempt.backend, outcome, tookNanos / service.meanNanos(), now);
    if (outcome == EndpointOutcome.ANSWERED) {
      service.add(tookNanos);
    }
    if (outcome == EndpointOutcome.BUSY || outcome == EndpointOutcome.NO_ANSWER) {
      double hold = service.meanNanos() * attempt.backend.slowness;
      router.holdOne(attempt.backend, now + Math.max(MIN_HOLD_NANOS, (long) hold));
    }
    return attempt;
  }

  /**
   * Returns whether a retry is safe, in time and within the budget; if so, spends a retry token.
   */
  boolean mayRetry(Entry entry, EndpointOutcome outcome, long now) {
    boolean safe = outcome != EndpointOutcome.NO_ANSWER || entry.request.idempotent();
    return safe
        && entry.attempts < limits.maxAttempts()
        && entry.answerBy - (long) entry.queue.serviceTime.meanNanos() > now
        && retries.trySpend();
  }

  /** Maps the outcome of the last attempt to the result code of the request. */
  static ResultCode codeOf(EndpointOutcome outcome, boolean mayHaveRun) {
    return switch (outcome) {
      case ANSWERED -> ResultCode.OK;
      case ERROR -> ResultCode.ENDPOINT_ERROR;
      case BUSY -> mayHaveRun ? ResultCode.OUTCOME_UNKNOWN : ResultCode.OVERLOADED;
      case CONNECT_FAILED -> mayHaveRun ? ResultCode.OUTCOME_UNKNOWN : ResultCode.CONNECT_FAILED;
      case NO_ANSWER -> ResultCode.OUTCOME_UNKNOWN;
    };
  }
}
