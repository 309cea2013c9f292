package org.masticspread.ctl.measure.request;

import java.time.Duration;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.PriorityQueue;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * A simulation of one policy on a virtual clock, with slots that serve requests for given times.
 *
 * <p>Arrivals and service times depend on the seed and the stream only, so they are the same for
 * every policy. A flood lasts from the end of the warm-up to the end of the run.
 */
final class Simulation {
  private static final long TICK_NANOS = Duration.ofMillis(5).toNanos();
  private static final int SERVICE_STAGES = 2;

  private final Deployment deployment;
  private final Scenario scenario;
  private final RequestPolicy policy;
  private final Phases phases;
  private final long seed;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
  private final Map<RequestStream, StreamResult> results = new LinkedHashMap<>();
  private final Slots slots;
  private long order;
  private long arrivals;
  private long now;

  Simulation(
      Deployment deployment, Scenario scenario, RequestPolicy policy, Phases phases, long seed) {
    this.deployment = deployment;
    this.scenario = scenario;
    this.policy = policy;
    this.phases = phases;
    this.seed = seed;
    this.slots = new Slots(deployment);
  }

  /**
   * The phases of a simulation.
   *
   * @param warmUp the warm-up before requests are counted
   * @param counted the period in which arriving requests are counted
   * @param after the period in which arrivals continue but are not counted
   */
  record Phases(Duration warmUp, Duration counted, Duration after) {
    long startNanos() {
      return warmUp.toNanos();
    }

    long endNanos() {
      return startNanos() + counted.toNanos();
    }

    long stopNanos() {
      return endNanos() + after.toNanos();
    }

    boolean isCounted(long at) {
      return at >= startNanos() && at < endNanos();
    }
  }

  private record Event(long at, long order, Runnable action) {}

  /** Runs the simulation and returns the result of each stream. */
  Map<RequestStream, StreamResult> results() {
    for (RequestStream stream : deployment.streams()) {
      results.put(stream, new StreamResult());
      long streamSeed = seed * 1_000_003 + deployment.streams().indexOf(stream);
      scheduleArrival(stream, RandomSource.XO_SHI_RO_256_PP.create(streamSeed), 0);
    }
    schedule(TICK_NANOS, this::tick);
    while (!events.isEmpty()) {
      Event event = events.poll();
      now = event.at();
      event.action().run();
      startAll();
    }
    return results;
  }

  private void schedule(long at, Runnable action) {
    events.add(new Event(at, order++, action));
  }

  private void tick() {
    policy.abandoned(now).forEach(arrival -> end(arrival, false));
    if (now < phases.stopNanos()) {
      schedule(now + TICK_NANOS, this::tick);
    }
  }

  private void scheduleArrival(RequestStream stream, UniformRandomProvider random, long after) {
    double rateFactor = after >= phases.startNanos() ? scenario.rateFactor(stream) : 1;
    double rate = stream.perSecond() * scenario.load() * rateFactor;
    long at = after + (long) (exponential(random) / rate * 1e9);
    if (at >= phases.stopNanos()) {
      return;
    }
    double stages = 0;
    for (int i = 0; i < SERVICE_STAGES; i++) {
      stages += exponential(random) / SERVICE_STAGES;
    }
    long serviceNanos = Math.max(1, (long) (stages * stream.meanServiceNanos()));
    schedule(
        at,
        () -> {
          arrive(new Arrival(arrivals++, stream, now, serviceNanos));
          scheduleArrival(stream, random, now);
        });
  }

  private static double exponential(UniformRandomProvider random) {
    return -Math.log(1 - random.nextDouble());
  }

  private void arrive(Arrival arrival) {
    if (!policy.offer(arrival, now)) {
      end(arrival, false);
    }
  }

  private void startAll() {
    RequestPolicy.Start start = policy.next(now);
    while (start != null) {
      start(start);
      start = policy.next(now);
    }
  }

  private void start(RequestPolicy.Start start) {
    Arrival arrival = start.arrival();
    slots.take(start.executor());
    if (arrival.startedAt == Arrival.NEVER) {
      arrival.startedAt = now;
    }
    long took = (long) (arrival.serviceNanos * deployment.slowness()[start.executor()]);
    schedule(
        now + took,
        () -> {
          slots.release(start.executor());
          policy.finished(start, took, now);
          end(arrival, true);
        });
  }

  private void end(Arrival arrival, boolean answered) {
    if (arrival.endedAt != Arrival.NEVER) {
      return;
    }
    arrival.endedAt = now;
    arrival.answered = answered;
    if (phases.isCounted(arrival.arrivedAt)) {
      results.get(arrival.stream).add(arrival);
    }
  }
}
