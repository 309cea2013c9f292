package org.masticspread.policy.request.internal;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.stream.Stream;
import org.apache.commons.rng.UniformRandomProvider;
import org.masticspread.model.config.EndpointConfig;
import org.masticspread.model.config.EndpointState;
import org.masticspread.model.id.EndpointId;
import org.masticspread.model.platform.EndpointOutcome;

/**
 * Chooses endpoints by the power of two choices among those with a free slot, and ejects outliers.
 *
 * <p>An endpoint never gets more requests at once than the smaller of its slots and connections.
 */
final class Router {
  private static final int CHOICES = 2;
  private static final int BUSY_DIVISOR = 2;
  private static final int CONSECUTIVE_FAILURES_TO_EJECT = 5;
  private static final int MIN_SAMPLES = 10;
  private static final double MIN_FAILURE_RATE = 0.5;
  private static final double MIN_RATIO_TO_MEAN = 2.5;
  private static final double MEAN_FAILURE_GAIN = 0.02;
  private static final long FIRST_EJECTION_NANOS = Duration.ofSeconds(1).toNanos();
  private static final int MAX_DOUBLINGS = 6;
  private static final int MIN_PROBATION_SUCCESSES = 3;

  private final UniformRandomProvider random;
  private final double maxEjectedFraction;
  private final Map<EndpointId, Backend> backends = new HashMap<>();
  private final Set<EndpointId> leaving = new HashSet<>();
  private final List<Backend> available = new ArrayList<>();
  private final PriorityQueue<TimedChange> timedChanges =
      new PriorityQueue<>((a, b) -> Long.compare(a.at(), b.at()));
  private int freeSlots;
  private int acceptingSlots;
  private double speedSum;
  private int ejectedCount;
  private double meanFailureRate;

  Router(UniformRandomProvider random, double maxEjectedFraction) {
    this.random = random;
    this.maxEjectedFraction = maxEjectedFraction;
  }

  void configure(List<EndpointConfig> endpoints) {
    backends.values().forEach(backend -> backend.configured = false);
    for (EndpointConfig config : endpoints) {
      Backend backend = backends.computeIfAbsent(config.name(), id -> new Backend(config));
      backend.configured = true;
      update(backend, () -> backend.config = config);
    }
    refreshLeaving();
    backends.values().removeIf(backend -> !backend.configured && backend.isUnused());
  }

  void setLeaving(Set<EndpointId> endpoints) {
    leaving.clear();
    leaving.addAll(endpoints);
    refreshLeaving();
  }

  private void refreshLeaving() {
    for (Backend backend : backends.values()) {
      boolean leavingNow =
          !backend.configured
              || leaving.contains(backend.config.name())
              || backend.config.state() != EndpointState.ACTIVE;
      update(backend, () -> backend.leaving = leavingNow);
    }
    acceptingSlots = accepting().mapToInt(Backend::maxInFlight).sum();
    speedSum = accepting().mapToDouble(Backend::speed).sum();
  }

  private Stream<Backend> accepting() {
    return backends.values().stream().filter(backend -> !backend.leaving);
  }

  /** Returns the service time of an average slot, relative to the mean of a work class. */
  double meanSlowness() {
    return speedSum <= 0 ? 1 : acceptingSlots / speedSum;
  }

  /** Returns the number of slots of all endpoints that accept new work. */
  int slots() {
    return acceptingSlots;
  }

  int busySlots() {
    return accepting()
        .mapToInt(b -> Math.min(b.maxInFlight(), b.inFlight + b.heldByFormerHome + b.held))
        .sum();
  }

  int inFlight(EndpointId endpoint) {
    Backend backend = backends.get(endpoint);
    return backend == null ? 0 : backend.inFlight;
  }

  int freeSlots() {
    return freeSlots;
  }

  /**
   * Chooses an endpoint with a free slot, if possible other than the excluded one; returns null if
   * no slot is free.
   *
   * <p>With {@code preferSlower}, while most slots are occupied, takes the slower of the two
   * candidates, so that the fast endpoints stay free for other work.
   */
  Backend choose(EndpointId excluded, boolean preferSlower) {
    boolean slower = preferSlower && freeSlots * BUSY_DIVISOR < acceptingSlots;
    Backend best = null;
    for (int i = 0; i < CHOICES && !available.isEmpty(); i++) {
      Backend candidate = sample(excluded);
      if (best == null || candidate.score() < best.score() != slower) {
        best = candidate;
      }
    }
    return best;
  }

  private Backend sample(EndpointId excluded) {
    int index = random.nextInt(available.size());
    Backend candidate = available.get(index);
    if (available.size() > 1 && candidate.config.name().equals(excluded)) {
      return available.get((index + 1) % available.size());
    }
    return candidate;
  }

  void started(Backend backend) {
    update(backend, () -> backend.inFlight++);
  }

  /** Records the end of a call; {@code ratio} is its duration over the mean of its work class. */
  void ended(Backend backend, EndpointOutcome outcome, double ratio, long now) {
    boolean success =
        outcome != EndpointOutcome.NO_ANSWER && outcome != EndpointOutcome.CONNECT_FAILED;
    update(
        backend,
        () -> {
          backend.inFlight--;
          if (outcome == EndpointOutcome.ANSWERED) {
            learnSpeed(backend, ratio);
          }
        });
    if (outcome == EndpointOutcome.BUSY) {
      return;
    }
    backend.learnHealth(success);
    meanFailureRate += MEAN_FAILURE_GAIN * ((success ? 0 : 1) - meanFailureRate);
    if (!backend.ejected) {
      updateEjection(backend, success, now);
    }
  }

  private void learnSpeed(Backend backend, double ratio) {
    double before = backend.speed();
    backend.learnSpeed(ratio);
    if (!backend.leaving) {
      speedSum += backend.speed() - before;
    }
  }

  private void updateEjection(Backend backend, boolean success, long now) {
    if (backend.probation && success) {
      recordProbationSuccess(backend);
      return;
    }
    boolean suspect = backend.probation || isOutlier(backend);
    if (success || !suspect || !mayEject(backend)) {
      return;
    }
    int doublings = Math.min(backend.ejections++, MAX_DOUBLINGS);
    update(
        backend,
        () -> {
          backend.ejected = true;
          backend.probation = false;
        });
    ejectedCount++;
    long until = now + (FIRST_EJECTION_NANOS << doublings);
    timedChanges.add(new TimedChange(until, backend, () -> endEjection(backend)));
  }

  private static boolean isOutlier(Backend backend, double meanFailureRate) {
    return backend.samples >= MIN_SAMPLES
        && backend.failureRate > MIN_FAILURE_RATE
        && backend.failureRate > MIN_RATIO_TO_MEAN * meanFailureRate;
  }

  private boolean isOutlier(Backend backend) {
    return backend.consecutiveFailures >= CONSECUTIVE_FAILURES_TO_EJECT
        || isOutlier(backend, meanFailureRate);
  }

  private boolean mayEject(Backend backend) {
    int maxEjected = Math.max(1, (int) (maxEjectedFraction * backends.size()));
    return backends.size() > 1 && ejectedCount < maxEjected;
  }

  private void recordProbationSuccess(Backend backend) {
    if (++backend.probationSuccesses < MIN_PROBATION_SUCCESSES) {
      return;
    }
    backend.ejections = Math.max(0, backend.ejections - 1);
    update(backend, () -> backend.probation = false);
  }

  /** Counts one more slot of an endpoint as occupied until the given time. */
  void holdOne(Backend backend, long until) {
    update(backend, () -> backend.held++);
    timedChanges.add(new TimedChange(until, backend, () -> backend.held--));
  }

  /** Counts slots of an endpoint as occupied by its former home until the given time. */
  void holdForFormerHome(EndpointId endpoint, int slots, long until) {
    Backend backend = backends.get(endpoint);
    if (backend == null) {
      return;
    }
    backend.formerHomeHoldUntil = until;
    update(backend, () -> backend.heldByFormerHome = slots);
    timedChanges.add(new TimedChange(until, backend, () -> endFormerHold(backend, until)));
  }

  void releaseFormerHold(EndpointId endpoint) {
    Backend backend = backends.get(endpoint);
    if (backend != null) {
      update(backend, () -> backend.heldByFormerHome = 0);
    }
  }

  /** Ends the holds and ejections that have expired. */
  void advance(long now) {
    while (!timedChanges.isEmpty() && timedChanges.peek().at() <= now) {
      TimedChange due = timedChanges.poll();
      update(due.backend(), due.change());
    }
  }

  private static void endFormerHold(Backend backend, long until) {
    if (backend.formerHomeHoldUntil <= until) {
      backend.heldByFormerHome = 0;
    }
  }

  private void endEjection(Backend backend) {
    ejectedCount--;
    backend.ejected = false;
    backend.probation = true;
    backend.probationSuccesses = 0;
    backend.consecutiveFailures = 0;
    backend.failureRate = 0;
  }

  private void update(Backend backend, Runnable change) {
    int before = backend.position == Backend.NOT_AVAILABLE ? 0 : backend.free();
    change.run();
    int after = backend.free();
    freeSlots += after - before;
    if (after > 0 && backend.position == Backend.NOT_AVAILABLE) {
      backend.position = available.size();
      available.add(backend);
    } else if (after == 0 && backend.position != Backend.NOT_AVAILABLE) {
      removeAvailable(backend);
    }
  }

  private void removeAvailable(Backend backend) {
    Backend moved = available.remove(available.size() - 1);
    if (moved != backend) {
      available.set(backend.position, moved);
      moved.position = backend.position;
    }
    backend.position = Backend.NOT_AVAILABLE;
  }

  private record TimedChange(long at, Backend backend, Runnable change) {}
}
