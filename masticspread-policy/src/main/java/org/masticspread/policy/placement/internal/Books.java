package org.masticspread.policy.placement.internal;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.masticspread.model.config.EndpointState;
import org.masticspread.model.config.WorkerConfig;
import org.masticspread.model.id.PoolId;
import org.masticspread.model.id.RackId;
import org.masticspread.model.id.ShardId;
import org.masticspread.model.id.TaskKey;
import org.masticspread.model.id.TeamId;
import org.masticspread.model.id.WorkerId;
import org.masticspread.model.peer.PlaceTask;
import org.masticspread.model.peer.RackDigest;
import org.masticspread.model.peer.RunningTask;
import org.masticspread.model.peer.TeamUsage;
import org.masticspread.model.platform.TaskAttempt;
import org.masticspread.model.platform.WorkerTask;
import org.masticspread.model.resource.ResourceVector;
import org.masticspread.policy.placement.PlacementStrategy;

/** The workers of a rack and what is booked on them. Guarded by its ledger's lock. */
public final class Books {
  private final Map<WorkerId, WorkerSlot> slots = new LinkedHashMap<>();
  private final Map<TaskKey, List<Booking>> byTask = new HashMap<>();
  private final Map<TeamId, ResourceVector> usage = new HashMap<>();
  private long sequence;

  /**
   * Takes over the workers of a configuration. A new worker is held until its report is adopted. A
   * worker that is missing gets nothing new and is forgotten once it is empty.
   *
   * @param workers the workers
   */
  public void configure(List<WorkerConfig> workers) {
    Set<WorkerId> named = new HashSet<>();
    for (WorkerConfig worker : workers) {
      named.add(worker.name());
      WorkerSlot slot = slots.get(worker.name());
      if (slot == null) {
        slots.put(worker.name(), new WorkerSlot(worker));
      } else {
        slot.configure(worker);
      }
    }
    slots.values().stream().filter(s -> !named.contains(s.name())).forEach(Books::retire);
    slots.values().removeIf(s -> !named.contains(s.name()) && s.bookings.isEmpty());
  }

  private static void retire(WorkerSlot slot) {
    WorkerConfig old = slot.config();
    slot.configure(
        new WorkerConfig(
            old.name(),
            old.pool(),
            old.rack(),
            old.dataCentre(),
            old.address(),
            old.capacity(),
            EndpointState.RETIRED));
  }

  /**
   * Returns all workers in the order of the configuration.
   *
   * @return the workers
   */
  public Collection<WorkerSlot> slots() {
    return slots.values();
  }

  /**
   * Finds a worker.
   *
   * @param worker the worker
   * @return the worker, or null if it is not of this rack
   */
  public WorkerSlot slot(WorkerId worker) {
    return slots.get(worker);
  }

  /**
   * Changes whether a worker counts as full because it has not told what it runs.
   *
   * @param worker the worker
   * @param unknown whether it counts as full
   */
  public void hold(WorkerId worker, boolean unknown) {
    WorkerSlot slot = slots.get(worker);
    if (slot != null) {
      slot.hold(unknown);
    }
  }

  /**
   * Frees all that is booked on a worker, and holds it no longer.
   *
   * @param worker the worker
   * @return the attempts that were booked there
   */
  public List<TaskAttempt> lapse(WorkerId worker) {
    WorkerSlot slot = slots.get(worker);
    if (slot == null) {
      return List.of();
    }
    List<TaskAttempt> lost = slot.attempts();
    lost.forEach(this::release);
    slot.hold(false);
    return lost;
  }

  /**
   * Finds the worker of least cost on which a size fits.
   *
   * @param size the size
   * @param pool the pool of the worker; null for any
   * @param strategy rates the workers
   * @param allowed which workers may be taken
   * @return the worker, or null if it fits on none
   */
  public WorkerSlot choose(
      ResourceVector size, PoolId pool, PlacementStrategy strategy, Predicate<WorkerSlot> allowed) {
    WorkerSlot best = null;
    double bestCost = Double.POSITIVE_INFINITY;
    for (WorkerSlot slot : slots.values()) {
      if (!slot.fits(size) || !slot.serves(pool) || !allowed.test(slot)) {
        continue;
      }
      double cost = strategy.cost(slot, size);
      if (best == null || cost < bestCost) {
        best = slot;
        bestCost = cost;
      }
    }
    return best;
  }

  /**
   * Books a task on a worker.
   *
   * @param task the task
   * @param slot the worker
   */
  public void book(PlaceTask task, WorkerSlot slot) {
    add(new Booking(task, slot, ++sequence));
  }

  /**
   * Books a task that a worker reports and that is not booked.
   *
   * @param task the task
   * @param slot the worker
   * @return the booking
   */
  Booking book(WorkerTask task, WorkerSlot slot) {
    Booking booking = new Booking(task, slot, ++sequence);
    add(booking);
    return booking;
  }

  private void add(Booking booking) {
    booking.slot.bookings.add(booking);
    byTask.computeIfAbsent(booking.attempt.task(), k -> new ArrayList<>(1)).add(booking);
    take(booking, booking.size);
  }

  private void take(Booking booking, ResourceVector size) {
    booking.slot.take(size);
    usage.merge(team(booking), size, ResourceVector::plus);
  }

  private void give(Booking booking, ResourceVector size) {
    booking.slot.give(size);
    usage.computeIfPresent(
        team(booking), (team, held) -> held.equals(size) ? null : held.minus(size));
  }

  private static TeamId team(Booking booking) {
    return booking.attempt.task().job().team();
  }

  /**
   * Changes how much a booked task holds.
   *
   * @param booking the booking
   * @param size the new size
   */
  void resize(Booking booking, ResourceVector size) {
    give(booking, booking.size);
    booking.size = size;
    take(booking, size);
  }

  /**
   * Frees what an attempt holds.
   *
   * @param attempt the attempt
   * @return whether it was booked
   */
  public boolean release(TaskAttempt attempt) {
    Booking booking = find(attempt);
    if (booking == null) {
      return false;
    }
    booking.slot.bookings.remove(booking);
    List<Booking> ofTask = byTask.get(attempt.task());
    ofTask.remove(booking);
    if (ofTask.isEmpty()) {
      byTask.remove(attempt.task());
    }
    give(booking, booking.size);
    return true;
  }

  /**
   * Confirms that a worker runs an attempt.
   *
   * @param attempt the attempt
   */
  public void confirm(TaskAttempt attempt) {
    Booking booking = find(attempt);
    if (booking != null) {
      confirm(booking);
    }
  }

  void confirm(Booking booking) {
    if (!booking.certain) {
      booking.certain = true;
      booking.confirmedSequence = ++sequence;
    }
  }

  Booking find(TaskAttempt attempt) {
    for (Booking booking : byTask.getOrDefault(attempt.task(), List.of())) {
      if (booking.attempt.attempt() == attempt.attempt()) {
        return booking;
      }
    }
    return null;
  }

  /**
   * Tells where an attempt is booked.
   *
   * @param attempt the attempt
   * @return its worker, or empty if it is not booked
   */
  public Optional<WorkerId> workerOf(TaskAttempt attempt) {
    return Optional.ofNullable(find(attempt)).map(b -> b.slot.name());
  }

  /**
   * Tells whether any attempt of a task is booked.
   *
   * @param task the task
   * @return whether one is
   */
  public boolean isBooked(TaskKey task) {
    return byTask.containsKey(task);
  }

  /**
   * Returns the number of the last change.
   *
   * @return the number
   */
  public long sequence() {
    return sequence;
  }

  /**
   * Lists what runs, or may run.
   *
   * @param workShard the work shard; null for all
   * @return the tasks
   */
  public List<RunningTask> running(ShardId workShard) {
    return slots.values().stream()
        .flatMap(s -> s.bookings.stream())
        .filter(b -> workShard == null || workShard.equals(b.workShard))
        .map(b -> new RunningTask(b.attempt, b.workShard, b.slot.name(), b.certain))
        .toList();
  }

  /**
   * Lists what each team holds.
   *
   * @return one entry for each team that holds anything
   */
  public List<TeamUsage> usage() {
    return usage.entrySet().stream().map(e -> new TeamUsage(e.getKey(), e.getValue())).toList();
  }

  /**
   * Sums up the rack for the other VMs.
   *
   * @param rack the rack
   * @param epoch the epoch of the rack shard
   * @return the state
   */
  public RackDigest digest(RackId rack, long epoch) {
    ResourceVector free = ResourceVector.ZERO;
    ResourceVector capacity = ResourceVector.ZERO;
    ResourceVector largest = ResourceVector.ZERO;
    double largestShare = -1;
    for (WorkerSlot slot : slots.values()) {
      ResourceVector usable = slot.usable();
      double share = slot.usableShare();
      free = free.plus(usable);
      if (slot.accepts()) {
        capacity = capacity.plus(slot.capacity());
      }
      if (share > largestShare) {
        largest = usable;
        largestShare = share;
      }
    }
    return new RackDigest(rack, epoch, free, largest, capacity, usage());
  }
}
