package org.masticspread.policy.gang;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import org.masticspread.model.id.RackId;
import org.masticspread.model.peer.RackDigest;
import org.masticspread.model.resource.ResourceVector;
import org.masticspread.policy.placement.internal.Vectors;

/**
 * Starts one gang: reserves room rack by rack in the order of their names, and starts all tasks
 * once there is room for each, or none. A gang that lacks room keeps what it has for a while that
 * grows with its age, then gives everything back and pauses; so the older of two gangs that block
 * each other outlasts the younger one, and neither waits for the other for ever. Thread-safe.
 *
 * <pre>{@code
 * GangPlanner planner = new GangPlanner(tasks, perTask, submittedAt, GangTimes.DEFAULT, seed);
 * List<GangCommand> commands = planner.begin(now, digests);
 * // send them; feed reserved(...) with each answer, and tick(...) some times a second
 * }</pre>
 */
public final class GangPlanner {
  /** The states of a gang. */
  public enum Phase {
    /** Has not begun, or pauses after giving up; ready once the pause is over. */
    IDLE,
    /** Asks racks in turn. */
    RESERVING,
    /** Keeps what it has and asks again soon. */
    HOLDING,
    /** Was told to start. */
    STARTED,
    /** Was cancelled. */
    ENDED
  }

  private record Held(int tasks, Instant askedAt) {}

  private final int tasks;
  private final ResourceVector perTask;
  private final Instant submittedAt;
  private final GangTimes times;
  private final SplittableRandom random;

  private final Map<RackId, Held> held = new TreeMap<>();
  private final Set<RackId> touched = new HashSet<>();
  private List<RackId> order = List.of();
  private int position;
  private int attempt;
  private int failures;
  private Phase phase = Phase.IDLE;
  private Instant askedAt;
  private Instant holdUntil;
  private Instant nextAt = Instant.MIN;

  /**
   * Creates a planner for one gang.
   *
   * @param tasks the number of tasks, at least 1
   * @param perTask the size of each
   * @param submittedAt when the gang was submitted; the earlier, the longer it keeps reservations
   * @param times the times
   * @param seed the seed of the jitter; different for each gang
   */
  public GangPlanner(
      int tasks, ResourceVector perTask, Instant submittedAt, GangTimes times, long seed) {
    this.tasks = tasks;
    this.perTask = perTask;
    this.submittedAt = submittedAt;
    this.times = times;
    this.random = new SplittableRandom(seed);
  }

  /**
   * Begins a round if the gang is idle and its pause is over.
   *
   * @param now the present
   * @param racks the racks of the pool
   * @return what to do
   */
  public synchronized List<GangCommand> begin(Instant now, List<RackDigest> racks) {
    if (phase != Phase.IDLE || now.isBefore(nextAt)) {
      return List.of();
    }
    order = candidates(now, racks);
    if (order.isEmpty()) {
      return List.of();
    }
    attempt++;
    position = 0;
    phase = Phase.RESERVING;
    holdUntil = now.plus(hold(now));
    return ask(now);
  }

  /**
   * Returns the racks to ask, by name. A young gang waits until the digests show room for all its
   * tasks; an old one collects room as it becomes free.
   */
  private List<RackId> candidates(Instant now, List<RackDigest> racks) {
    boolean old = !now.isBefore(submittedAt.plus(times.maxHold()));
    long room = racks.stream().mapToLong(this::slots).sum();
    if (room < tasks && !old) {
      return List.of();
    }
    return racks.stream()
        .filter(r -> slots(r) > 0 || (old && perTask.fitsIn(r.capacity())))
        .map(RackDigest::rack)
        .sorted()
        .toList();
  }

  private int slots(RackDigest rack) {
    return perTask.fitsIn(rack.largestHole()) ? Vectors.timesIn(perTask, rack.free(), tasks) : 0;
  }

  private Duration hold(Instant now) {
    Duration age = Duration.between(submittedAt, now);
    Duration hold = times.minHold().plus(age.isNegative() ? Duration.ZERO : age);
    return hold.compareTo(times.maxHold()) > 0 ? times.maxHold() : hold;
  }

  private List<GangCommand> ask(Instant now) {
    RackId rack = order.get(position);
    int mine = held.containsKey(rack) ? held.get(rack).tasks() : 0;
    int wanted = mine + tasks - total();
    askedAt = now;
    touched.add(rack);
    return List.of(new GangCommand.Reserve(rack, attempt, wanted, times.ttl()));
  }

  private int total() {
    return held.values().stream().mapToInt(Held::tasks).sum();
  }

  /**
   * Takes in the answer of a rack owner. Answers of earlier attempts, or of a rack that is not
   * being asked, are dropped.
   *
   * @param rack the rack
   * @param ofAttempt the attempt that was asked for
   * @param reserved the number of tasks reserved for
   * @param now the present
   * @return what to do
   */
  public synchronized List<GangCommand> reserved(
      RackId rack, int ofAttempt, int reserved, Instant now) {
    boolean asked = phase == Phase.RESERVING && order.get(position).equals(rack);
    if (!asked || ofAttempt != attempt) {
      return List.of();
    }
    if (reserved > 0) {
      held.put(rack, new Held(reserved, askedAt));
    } else {
      held.remove(rack);
    }
    return advance(now);
  }

  private List<GangCommand> advance(Instant now) {
    position++;
    if (total() < tasks) {
      return position < order.size() ? ask(now) : holdOn(now);
    }
    Optional<RackId> expiring = expiring(now);
    if (expiring.isEmpty()) {
      return start();
    }
    position = order.indexOf(expiring.get());
    return ask(now);
  }

  private Optional<RackId> expiring(Instant now) {
    Instant safe = now.plus(times.startMargin());
    return held.entrySet().stream()
        .filter(e -> !safe.isBefore(e.getValue().askedAt().plus(times.ttl())))
        .map(Map.Entry::getKey)
        .findFirst();
  }

  private List<GangCommand> start() {
    phase = Phase.STARTED;
    List<GangCommand> commands = new ArrayList<>(List.of(new GangCommand.Start(shares())));
    for (RackId rack : new TreeSet<>(touched)) {
      if (!held.containsKey(rack)) {
        commands.add(new GangCommand.Release(rack, attempt));
      }
    }
    return commands;
  }

  private Map<RackId, Integer> shares() {
    Map<RackId, Integer> shares = new TreeMap<>();
    held.forEach((rack, h) -> shares.put(rack, h.tasks()));
    return shares;
  }

  private List<GangCommand> holdOn(Instant now) {
    if (!now.isBefore(holdUntil)) {
      return giveUp(now);
    }
    phase = Phase.HOLDING;
    nextAt = now.plus(jitter(times.retry()));
    return List.of();
  }

  private List<GangCommand> giveUp(Instant now) {
    phase = Phase.IDLE;
    Duration backoff = times.minBackoff().multipliedBy(1L << Math.min(failures, 10));
    failures++;
    nextAt = now.plus(jitter(min(backoff, times.maxBackoff())));
    return releaseAll();
  }

  private List<GangCommand> releaseAll() {
    List<GangCommand> commands = new ArrayList<>();
    touched.stream().sorted().forEach(r -> commands.add(new GangCommand.Release(r, attempt)));
    touched.clear();
    held.clear();
    return commands;
  }

  private static Duration min(Duration left, Duration right) {
    return left.compareTo(right) <= 0 ? left : right;
  }

  /** Returns a time between half and the whole of a duration. */
  private Duration jitter(Duration duration) {
    long half = duration.toNanos() / 2;
    return Duration.ofNanos(half + random.nextLong(half + 1));
  }

  /**
   * Lets time pass: asks again after a lost answer or a wait, or gives up.
   *
   * @param now the present
   * @return what to do
   */
  public synchronized List<GangCommand> tick(Instant now) {
    if (phase == Phase.HOLDING && !now.isBefore(nextAt)) {
      return again(now);
    }
    if (phase == Phase.RESERVING && !now.isBefore(askedAt.plus(times.replyTimeout()))) {
      held.remove(order.get(position));
      return advance(now);
    }
    return List.of();
  }

  private List<GangCommand> again(Instant now) {
    if (!now.isBefore(holdUntil)) {
      return giveUp(now);
    }
    phase = Phase.RESERVING;
    position = 0;
    return ask(now);
  }

  /**
   * Tells that not every task could be started. The caller stops those that were.
   *
   * @param now the present
   * @return what to do; the gang may begin again after a pause
   */
  public synchronized List<GangCommand> startFailed(Instant now) {
    return phase == Phase.STARTED ? giveUp(now) : List.of();
  }

  /**
   * Ends the gang before its start.
   *
   * @return what to do
   */
  @CanIgnoreReturnValue
  public synchronized List<GangCommand> cancel() {
    List<GangCommand> commands = phase == Phase.STARTED ? List.of() : releaseAll();
    phase = Phase.ENDED;
    return commands;
  }

  /**
   * Returns the state.
   *
   * @return the state
   */
  public synchronized Phase phase() {
    return phase;
  }

  /**
   * Returns the attempt of the latest round.
   *
   * @return the attempt; 0 before the first round
   */
  public synchronized int attempt() {
    return attempt;
  }
}
