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
 * Plans the all-or-nothing start of one gang. Reserves room rack by rack in the order of their
 * names, and starts all tasks once there is room for all of them.
 *
 * <p>A gang that lacks room keeps its reservations for a time that grows with its age, then
 * releases all of them and backs off. So the older of two gangs that block each other outlasts the
 * younger one, and there is no deadlock. Thread-safe.
 *
 * <pre>{@code
 * GangPlanner planner = new GangPlanner(tasks, perTask, submittedAt, GangTimes.DEFAULT, seed);
 * List<GangCommand> commands = planner.begin(now, digests);
 * // execute them; call reserved(...) with each answer, and tick(...) several times a second
 * }</pre>
 */
public final class GangPlanner {
  /** The phases of a gang. */
  public enum Phase {
    /** Not begun, or backing off after giving up. */
    IDLE,
    /** Asking the racks for reservations, one after the other. */
    RESERVING,
    /** Keeping an incomplete set of reservations until the next retry. */
    HOLDING,
    /** The start command was issued. */
    STARTED,
    /** Cancelled. */
    ENDED
  }

  private record Reservation(int tasks, Instant askedAt) {}

  private final int tasks;
  private final ResourceVector perTask;
  private final Instant submittedAt;
  private final GangTimes times;
  private final SplittableRandom random;

  private final Map<RackId, Reservation> reservations = new TreeMap<>();
  private final Set<RackId> askedRacks = new HashSet<>();
  private List<RackId> rackOrder = List.of();
  private int rackIndex;
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
   * @param perTask the size of each task
   * @param submittedAt when the gang was submitted; older gangs keep reservations longer
   * @param times the timing parameters
   * @param seed the random seed of the jitter; must differ between gangs
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
   * Begins a round if the gang is idle and its backoff is over.
   *
   * @param now the current time
   * @param racks the racks of the pool
   * @return the commands to execute
   */
  public synchronized List<GangCommand> begin(Instant now, List<RackDigest> racks) {
    if (phase != Phase.IDLE || now.isBefore(nextAt)) {
      return List.of();
    }
    rackOrder = candidates(now, racks);
    if (rackOrder.isEmpty()) {
      return List.of();
    }
    attempt++;
    rackIndex = 0;
    phase = Phase.RESERVING;
    holdUntil = now.plus(holdTime(now));
    return ask(now);
  }

  /**
   * Returns the racks to ask, ordered by name. A young gang waits until the digests show room for
   * all its tasks; an old one collects room as it becomes free.
   */
  private List<RackId> candidates(Instant now, List<RackDigest> racks) {
    boolean oldGang = !now.isBefore(submittedAt.plus(times.maxHold()));
    long availableSlots = racks.stream().mapToLong(this::fittingTasks).sum();
    if (availableSlots < tasks && !oldGang) {
      return List.of();
    }
    return racks.stream()
        .filter(r -> fittingTasks(r) > 0 || (oldGang && perTask.fitsIn(r.capacity())))
        .map(RackDigest::rack)
        .sorted()
        .toList();
  }

  private int fittingTasks(RackDigest rack) {
    return perTask.fitsIn(rack.largestHole())
        ? Vectors.countFitting(perTask, rack.free(), tasks)
        : 0;
  }

  private Duration holdTime(Instant now) {
    Duration age = Duration.between(submittedAt, now);
    Duration hold = times.minHold().plus(age.isNegative() ? Duration.ZERO : age);
    return hold.compareTo(times.maxHold()) > 0 ? times.maxHold() : hold;
  }

  private List<GangCommand> ask(Instant now) {
    RackId rack = rackOrder.get(rackIndex);
    int reservedHere = reservations.containsKey(rack) ? reservations.get(rack).tasks() : 0;
    int wanted = reservedHere + tasks - totalReserved();
    askedAt = now;
    askedRacks.add(rack);
    return List.of(new GangCommand.Reserve(rack, attempt, wanted, times.ttl()));
  }

  private int totalReserved() {
    return reservations.values().stream().mapToInt(Reservation::tasks).sum();
  }

  /**
   * Handles the answer of a rack owner. Answers to earlier attempts, and answers of racks other
   * than the one being asked, are ignored.
   *
   * @param rack the rack
   * @param ofAttempt the attempt that the answer belongs to
   * @param reserved the number of tasks for which room is reserved
   * @param now the current time
   * @return the commands to execute
   */
  public synchronized List<GangCommand> reserved(
      RackId rack, int ofAttempt, int reserved, Instant now) {
    boolean expected = phase == Phase.RESERVING && rackOrder.get(rackIndex).equals(rack);
    if (!expected || ofAttempt != attempt) {
      return List.of();
    }
    if (reserved > 0) {
      reservations.put(rack, new Reservation(reserved, askedAt));
    } else {
      reservations.remove(rack);
    }
    return advance(now);
  }

  private List<GangCommand> advance(Instant now) {
    rackIndex++;
    if (totalReserved() < tasks) {
      return rackIndex < rackOrder.size() ? ask(now) : holdReservations(now);
    }
    Optional<RackId> expiring = expiring(now);
    if (expiring.isEmpty()) {
      return start();
    }
    rackIndex = rackOrder.indexOf(expiring.get());
    return ask(now);
  }

  private Optional<RackId> expiring(Instant now) {
    Instant minExpiry = now.plus(times.startMargin());
    return reservations.entrySet().stream()
        .filter(e -> !minExpiry.isBefore(e.getValue().askedAt().plus(times.ttl())))
        .map(Map.Entry::getKey)
        .findFirst();
  }

  private List<GangCommand> start() {
    phase = Phase.STARTED;
    List<GangCommand> commands = new ArrayList<>(List.of(new GangCommand.Start(tasksByRack())));
    for (RackId rack : new TreeSet<>(askedRacks)) {
      if (!reservations.containsKey(rack)) {
        commands.add(new GangCommand.Release(rack, attempt));
      }
    }
    return commands;
  }

  private Map<RackId, Integer> tasksByRack() {
    Map<RackId, Integer> tasksByRack = new TreeMap<>();
    reservations.forEach((rack, h) -> tasksByRack.put(rack, h.tasks()));
    return tasksByRack;
  }

  private List<GangCommand> holdReservations(Instant now) {
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
    askedRacks.stream().sorted().forEach(r -> commands.add(new GangCommand.Release(r, attempt)));
    askedRacks.clear();
    reservations.clear();
    return commands;
  }

  private static Duration min(Duration left, Duration right) {
    return left.compareTo(right) <= 0 ? left : right;
  }

  /** Returns a random duration between half and all of the given one. */
  private Duration jitter(Duration duration) {
    long half = duration.toNanos() / 2;
    return Duration.ofNanos(half + random.nextLong(half + 1));
  }

  /**
   * Handles timeouts: proceeds after a lost answer, retries after a wait, or gives up.
   *
   * @param now the current time
   * @return the commands to execute
   */
  public synchronized List<GangCommand> tick(Instant now) {
    if (phase == Phase.HOLDING && !now.isBefore(nextAt)) {
      return askAgain(now);
    }
    if (phase == Phase.RESERVING && !now.isBefore(askedAt.plus(times.replyTimeout()))) {
      reservations.remove(rackOrder.get(rackIndex));
      return advance(now);
    }
    return List.of();
  }

  private List<GangCommand> askAgain(Instant now) {
    if (!now.isBefore(holdUntil)) {
      return giveUp(now);
    }
    phase = Phase.RESERVING;
    rackIndex = 0;
    return ask(now);
  }

  /**
   * Handles a start in which not all tasks could be started. The caller stops those that were.
   *
   * @param now the current time
   * @return the commands to execute; the gang may begin again after its backoff
   */
  public synchronized List<GangCommand> startFailed(Instant now) {
    return phase == Phase.STARTED ? giveUp(now) : List.of();
  }

  /**
   * Cancels the gang and releases its reservations unless it has started.
   *
   * @return the commands to execute
   */
  @CanIgnoreReturnValue
  public synchronized List<GangCommand> cancel() {
    List<GangCommand> commands = phase == Phase.STARTED ? List.of() : releaseAll();
    phase = Phase.ENDED;
    return commands;
  }

  /**
   * Returns the current phase.
   *
   * @return the phase
   */
  public synchronized Phase phase() {
    return phase;
  }

  /**
   * Returns the attempt number of the latest round.
   *
   * @return the attempt; 0 before the first round
   */
  public synchronized int attempt() {
    return attempt;
  }
}
