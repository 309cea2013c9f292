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

/** The dispatches in flight, their timeouts, and the budgets of retries and hedges. */
final class Attempts {
  private static final long LEAST_TIMEOUT_NANOS = Duration.ofMillis(100).toNanos();
  private static final long LEAST_HOLD_NANOS = Duration.ofMillis(50).toNanos();
  private static final double TIMEOUT_OVER_UPPER = 3;
  private static final double PATIENT_OVER_UPPER = 4;

  private final RequestLimits limits;
  private final Router router;
  private final TokenBudget retries;
  private final TokenBudget hedges;
  private final Map<Long, Flight> flights = new HashMap<>();
  private final PriorityQueue<Flight> hedgeable =
      new PriorityQueue<>(Comparator.comparingLong(flight -> flight.hedgeAt));
  private long number;

  Attempts(RequestLimits limits, Router router) {
    this.limits = limits;
    this.router = router;
    this.retries = new TokenBudget(limits.retryPart());
    this.hedges = new TokenBudget(limits.hedgePart());
  }

  /** Takes a slot of an endpoint for the entry; there must be a free one. */
  Flight start(Entry entry, Choice choice, long now, boolean hedge) {
    ServiceTime service = entry.queue.serviceTime;
    Backend backend = router.choose(entry.lastEndpoint, isPatient(entry, now));
    long hedgeAt = now + (long) (service.upperNanos() * backend.slowness);
    double estimate = service.meanNanos() * backend.slowness;
    double charge = service.meanNanos() * router.meanSlowness();
    Flight flight = new Flight(++number, entry, backend, choice, estimate, charge, hedgeAt, hedge);
    flights.put(flight.number, flight);
    router.started(backend);
    entry.inFlight++;
    entry.attempts++;
    entry.lastEndpoint = backend.config.name();
    if (entry.attempts == 1) {
      retries.earn();
      hedges.earn();
    }
    if (!hedge && entry.request.idempotent() && Gate.isUrgent(entry.queue)) {
      hedgeable.add(flight);
    }
    return flight;
  }

  private static boolean isPatient(Entry entry, long now) {
    double enough = PATIENT_OVER_UPPER * entry.queue.serviceTime.upperNanos();
    return entry.queue.urgency() == Urgency.DEFERRABLE && entry.answerBy - now > enough;
  }

  Dispatch toDispatch(Flight flight, long now) {
    Entry entry = flight.entry;
    return new Dispatch(
        flight.number,
        entry.request,
        flight.backend.config,
        entry.attempts,
        flight.hedge,
        timeout(flight, now));
  }

  private Duration timeout(Flight flight, long now) {
    long left = flight.entry.answerBy - now;
    if (!flight.entry.request.idempotent() || !flight.entry.queue.serviceTime.isKnown()) {
      return Duration.ofNanos(left);
    }
    double upper = flight.entry.queue.serviceTime.upperNanos() * flight.backend.slowness;
    long patient = Math.max(LEAST_TIMEOUT_NANOS, (long) (TIMEOUT_OVER_UPPER * upper));
    return Duration.ofNanos(Math.min(left, patient));
  }

  /** Returns a flight that is late enough for a second attempt elsewhere, or null. */
  Flight lateFlight(long now) {
    while (!hedgeable.isEmpty()) {
      Flight flight = hedgeable.peek();
      if (!flight.ended && flight.hedgeAt > now) {
        return null;
      }
      hedgeable.poll();
      Entry entry = flight.entry;
      boolean useful = !flight.ended && !entry.concluded && entry.inFlight == 1;
      if (useful && entry.answerBy > now && entry.attempts < limits.attempts() && hedges.spend()) {
        return flight;
      }
    }
    return null;
  }

  /** Returns the slot time of a call as it would be at the mean speed of the pool. */
  double atMeanSpeed(Flight flight, long tookNanos) {
    return tookNanos / flight.backend.slowness * router.meanSlowness();
  }

  /** Ends a dispatch and frees or holds its slot; returns null when it is not in flight. */
  Flight end(long dispatch, EndpointOutcome outcome, long tookNanos, long now) {
    Flight flight = flights.remove(dispatch);
    if (flight == null) {
      return null;
    }
    flight.ended = true;
    flight.entry.inFlight--;
    ServiceTime service = flight.entry.queue.serviceTime;
    router.ended(flight.backend, outcome, tookNanos / service.meanNanos(), now);
    if (outcome == EndpointOutcome.ANSWERED) {
      service.add(tookNanos);
    }
    if (outcome == EndpointOutcome.BUSY || outcome == EndpointOutcome.NO_ANSWER) {
      double hold = service.meanNanos() * flight.backend.slowness;
      router.holdOne(flight.backend, now + Math.max(LEAST_HOLD_NANOS, (long) hold));
    }
    return flight;
  }

  /** Tells whether another attempt is safe, in time and within the budget; spends a token. */
  boolean mayRetry(Entry entry, EndpointOutcome outcome, long now) {
    boolean safe = outcome != EndpointOutcome.NO_ANSWER || entry.request.idempotent();
    return safe
        && entry.attempts < limits.attempts()
        && entry.answerBy - (long) entry.queue.serviceTime.meanNanos() > now
        && retries.spend();
  }

  /** Returns the result code of an outcome that ends the request. */
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
