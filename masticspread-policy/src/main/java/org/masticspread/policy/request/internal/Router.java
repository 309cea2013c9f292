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
 * Chooses endpoints by two choices among those with a free slot, and ejects outliers.
 *
 * <p>Never gives an endpoint more than the smaller of its slots and its connections.
 */
final class Router {
  private static final int CHOICES = 2;
  private static final int BUSY_DIVISOR = 2;
  private static final int FAILURES_IN_ROW = 5;
  private static final int LEAST_SAMPLES = 10;
  private static final double FAILED_PART = 0.5;
  private static final double FAILED_OVER_MEAN = 2.5;
  private static final double MEAN_GAIN = 0.02;
  private static final long FIRST_EJECTION_NANOS = Duration.ofSeconds(1).toNanos();
  private static final int MOST_DOUBLINGS = 6;
  private static final int GOOD_IN_PROBATION = 3;

  private final UniformRandomProvider random;
  private final double ejectedPart;
  private final Map<EndpointId, Backend> backends = new HashMap<>();
  private final Set<EndpointId> leaving = new HashSet<>();
  private final List<Backend> open = new ArrayList<>();
  private final PriorityQueue<Wake> wakes =
      new PriorityQueue<>((a, b) -> Long.compare(a.at(), b.at()));
  private int freeSlots;
  private int takingSlots;
  private double speedSum;
  private int ejected;
  private double meanFailed;

  Router(UniformRandomProvider random, double ejectedPart) {
    this.random = random;
    this.ejectedPart = ejectedPart;
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
      boolean gone =
          !backend.configured
              || leaving.contains(backend.config.name())
              || backend.config.state() != EndpointState.ACTIVE;
      update(backend, () -> backend.leaving = gone);
    }
    takingSlots = taking().mapToInt(Backend::limit).sum();
    speedSum = taking().mapToDouble(Backend::speed).sum();
  }

  private Stream<Backend> taking() {
    return backends.values().stream().filter(backend -> !backend.leaving);
  }

  /** Returns the service time of a mean slot relative to that of the mean of a class. */
  double meanSlowness() {
    return speedSum <= 0 ? 1 : takingSlots / speedSum;
  }

  /** Returns the slots of all endpoints that take new work. */
  int slots() {
    return takingSlots;
  }

  int busySlots() {
    return taking().mapToInt(b -> Math.min(b.limit(), b.inFlight + b.formerHeld + b.held)).sum();
  }

  int inFlight(EndpointId endpoint) {
    Backend backend = backends.get(endpoint);
    return backend == null ? 0 : backend.inFlight;
  }

  int freeSlots() {
    return freeSlots;
  }

  /**
   * Returns an endpoint with a free slot, another than the given one if there is one, or null.
   *
   * <p>Patient work takes the slower of two choices when most slots are taken, so that the fast
   * ones stay for other work.
   */
  Backend choose(EndpointId notThis, boolean patient) {
    boolean slower = patient && freeSlots * BUSY_DIVISOR < takingSlots;
    Backend best = null;
    for (int i = 0; i < CHOICES && !open.isEmpty(); i++) {
      Backend candidate = sample(notThis);
      if (best == null || candidate.score() < best.score() != slower) {
        best = candidate;
      }
    }
    return best;
  }

  private Backend sample(EndpointId notThis) {
    int index = random.nextInt(open.size());
    Backend candidate = open.get(index);
    if (open.size() > 1 && candidate.config.name().equals(notThis)) {
      return open.get((index + 1) % open.size());
    }
    return candidate;
  }

  void started(Backend backend) {
    update(backend, () -> backend.inFlight++);
  }

  /** Takes in the end of a call; {@code ratio} is its time over the mean of its class. */
  void ended(Backend backend, EndpointOutcome outcome, double ratio, long now) {
    boolean good =
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
    backend.learnHealth(good);
    meanFailed += MEAN_GAIN * ((good ? 0 : 1) - meanFailed);
    if (!backend.ejected) {
      judge(backend, good, now);
    }
  }

  private void learnSpeed(Backend backend, double ratio) {
    double before = backend.speed();
    backend.learnSpeed(ratio);
    if (!backend.leaving) {
      speedSum += backend.speed() - before;
    }
  }

  private void judge(Backend backend, boolean good, long now) {
    if (backend.probation && good) {
      endProbationWhenGood(backend);
      return;
    }
    boolean bad = backend.probation || isOutlier(backend);
    if (good || !bad || !mayEject(backend)) {
      return;
    }
    int doublings = Math.min(backend.ejections++, MOST_DOUBLINGS);
    update(
        backend,
        () -> {
          backend.ejected = true;
          backend.probation = false;
        });
    ejected++;
    long until = now + (FIRST_EJECTION_NANOS << doublings);
    wakes.add(new Wake(until, backend, () -> endEjection(backend)));
  }

  private static boolean isOutlier(Backend backend, double meanFailed) {
    return backend.samples >= LEAST_SAMPLES
        && backend.failed > FAILED_PART
        && backend.failed > FAILED_OVER_MEAN * meanFailed;
  }

  private boolean isOutlier(Backend backend) {
    return backend.failuresInRow >= FAILURES_IN_ROW || isOutlier(backend, meanFailed);
  }

  private boolean mayEject(Backend backend) {
    int most = Math.max(1, (int) (ejectedPart * backends.size()));
    return backends.size() > 1 && ejected < most;
  }

  private void endProbationWhenGood(Backend backend) {
    if (++backend.goodInProbation < GOOD_IN_PROBATION) {
      return;
    }
    backend.ejections = Math.max(0, backend.ejections - 1);
    update(backend, () -> backend.probation = false);
  }

  /** Counts one more slot of an endpoint as taken until an instant. */
  void holdOne(Backend backend, long until) {
    update(backend, () -> backend.held++);
    wakes.add(new Wake(until, backend, () -> backend.held--));
  }

  /** Counts slots of an endpoint as taken by a former home until an instant. */
  void holdFormer(EndpointId endpoint, int slots, long until) {
    Backend backend = backends.get(endpoint);
    if (backend == null) {
      return;
    }
    backend.formerHeldUntil = until;
    update(backend, () -> backend.formerHeld = slots);
    wakes.add(new Wake(until, backend, () -> endFormerHold(backend, until)));
  }

  void releaseFormer(EndpointId endpoint) {
    Backend backend = backends.get(endpoint);
    if (backend != null) {
      update(backend, () -> backend.formerHeld = 0);
    }
  }

  /** Ends holds and ejections that are over. */
  void advance(long now) {
    while (!wakes.isEmpty() && wakes.peek().at() <= now) {
      Wake wake = wakes.poll();
      update(wake.backend(), wake.change());
    }
  }

  private static void endFormerHold(Backend backend, long until) {
    if (backend.formerHeldUntil <= until) {
      backend.formerHeld = 0;
    }
  }

  private void endEjection(Backend backend) {
    ejected--;
    backend.ejected = false;
    backend.probation = true;
    backend.goodInProbation = 0;
    backend.failuresInRow = 0;
    backend.failed = 0;
  }

  private void update(Backend backend, Runnable change) {
    int before = backend.position == Backend.NOT_OPEN ? 0 : backend.free();
    change.run();
    int after = backend.free();
    freeSlots += after - before;
    if (after > 0 && backend.position == Backend.NOT_OPEN) {
      backend.position = open.size();
      open.add(backend);
    } else if (after == 0 && backend.position != Backend.NOT_OPEN) {
      close(backend);
    }
  }

  private void close(Backend backend) {
    Backend moved = open.remove(open.size() - 1);
    if (moved != backend) {
      open.set(backend.position, moved);
      moved.position = backend.position;
    }
    backend.position = Backend.NOT_OPEN;
  }

  private record Wake(long at, Backend backend, Runnable change) {}
}
