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

/** The workers of a rack and the allocations on them. Guarded by the lock of the ledger. */
public final class AllocationTable {
  private final Map<WorkerId, WorkerState> workers = new LinkedHashMap<>();
  private final Map<TaskKey, List<Allocation>> byTask = new HashMap<>();
  private final Map<TeamId, ResourceVector> usage = new HashMap<>();
  private long sequence;

  /**
   * Applies the workers of a configuration. A new worker counts as full until its report is
   * adopted. A missing worker gets no new work and is removed once it is empty.
   *
   * @param configured the configured workers
   */
  public void configure(List<WorkerConfig> configured) {
    Set<WorkerId> names = new HashSet<>();
    for (WorkerConfig worker : configured) {
      names.add(worker.name());
      WorkerState state = workers.get(worker.name());
      if (state == null) {
        workers.put(worker.name(), new WorkerState(worker));
      } else {
        state.configure(worker);
      }
    }
    workers.values().stream()
        .filter(s -> !names.contains(s.name()))
        .forEach(AllocationTable::retire);
    workers.values().removeIf(s -> !names.contains(s.name()) && s.allocations.isEmpty());
  }

  private static void retire(WorkerState state) {
    WorkerConfig old = state.config();
    state.configure(
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
   * Returns all workers, in the order of the configuration.
   *
   * @return the workers
   */
  public Collection<WorkerState> workers() {
    return workers.values();
  }

  /**
   * Finds a worker.
   *
   * @param worker the worker
   * @return the worker, or null if it is not in this rack
   */
  public WorkerState worker(WorkerId worker) {
    return workers.get(worker);
  }

  /**
   * Sets whether a worker counts as full because it has not reported what it runs.
   *
   * @param worker the worker
   * @param unreported whether it counts as full
   */
  public void setUnreported(WorkerId worker, boolean unreported) {
    WorkerState state = workers.get(worker);
    if (state != null) {
      state.setUnreported(unreported);
    }
  }

  /**
   * Releases all allocations on a worker and lets it accept new work.
   *
   * @param worker the worker
   * @return the attempts that were allocated there
   */
  public List<TaskAttempt> releaseAll(WorkerId worker) {
    WorkerState state = workers.get(worker);
    if (state == null) {
      return List.of();
    }
    List<TaskAttempt> released = state.attempts();
    released.forEach(this::release);
    state.setUnreported(false);
    return released;
  }

  /**
   * Finds the worker of the lowest cost on which a size fits.
   *
   * @param size the size
   * @param pool the pool of the worker; null for any
   * @param strategy the placement strategy
   * @param allowed which workers may be chosen
   * @return the worker, or null if the size fits on none
   */
  public WorkerState choose(
      ResourceVector size,
      PoolId pool,
      PlacementStrategy strategy,
      Predicate<WorkerState> allowed) {
    WorkerState best = null;
    double bestCost = Double.POSITIVE_INFINITY;
    for (WorkerState state : workers.values()) {
      if (!state.fits(size) || !state.serves(pool) || !allowed.test(state)) {
        continue;
      }
      double cost = strategy.cost(state, size);
      if (best == null || cost < bestCost) {
        best = state;
        bestCost = cost;
      }
    }
    return best;
  }

  /**
   * Allocates the size of a task on a worker.
   *
   * @param task the task
   * @param state the worker
   */
  public void allocate(PlaceTask task, WorkerState state) {
    add(new Allocation(task, state, ++sequence));
  }

  /**
   * Adds an allocation for a task that a worker reports and that is not allocated.
   *
   * @param task the task
   * @param state the worker
   * @return the allocation
   */
  Allocation adopt(WorkerTask task, WorkerState state) {
    Allocation allocation = new Allocation(task, state, ++sequence);
    add(allocation);
    return allocation;
  }

  private void add(Allocation allocation) {
    allocation.state.allocations.add(allocation);
    byTask.computeIfAbsent(allocation.attempt.task(), k -> new ArrayList<>(1)).add(allocation);
    occupy(allocation, allocation.size);
  }

  private void occupy(Allocation allocation, ResourceVector size) {
    allocation.state.occupy(size);
    usage.merge(team(allocation), size, ResourceVector::plus);
  }

  private void free(Allocation allocation, ResourceVector size) {
    allocation.state.free(size);
    usage.computeIfPresent(
        team(allocation), (team, held) -> held.equals(size) ? null : held.minus(size));
  }

  private static TeamId team(Allocation allocation) {
    return allocation.attempt.task().job().team();
  }

  /**
   * Changes the size of an allocation.
   *
   * @param allocation the allocation
   * @param size the new size
   */
  void resize(Allocation allocation, ResourceVector size) {
    free(allocation, allocation.size);
    allocation.size = size;
    occupy(allocation, size);
  }

  /**
   * Releases the allocation of an attempt.
   *
   * @param attempt the attempt
   * @return whether it was allocated
   */
  public boolean release(TaskAttempt attempt) {
    Allocation allocation = find(attempt);
    if (allocation == null) {
      return false;
    }
    allocation.state.allocations.remove(allocation);
    List<Allocation> taskAllocations = byTask.get(attempt.task());
    taskAllocations.remove(allocation);
    if (taskAllocations.isEmpty()) {
      byTask.remove(attempt.task());
    }
    free(allocation, allocation.size);
    return true;
  }

  /**
   * Records that a worker has confirmed that it runs an attempt.
   *
   * @param attempt the attempt
   */
  public void confirm(TaskAttempt attempt) {
    Allocation allocation = find(attempt);
    if (allocation != null) {
      confirm(allocation);
    }
  }

  void confirm(Allocation allocation) {
    if (!allocation.certain) {
      allocation.certain = true;
      allocation.confirmedSequence = ++sequence;
    }
  }

  Allocation find(TaskAttempt attempt) {
    for (Allocation allocation : byTask.getOrDefault(attempt.task(), List.of())) {
      if (allocation.attempt.attempt() == attempt.attempt()) {
        return allocation;
      }
    }
    return null;
  }

  /**
   * Returns the worker on which an attempt is allocated.
   *
   * @param attempt the attempt
   * @return its worker, or empty if it is not allocated
   */
  public Optional<WorkerId> workerOf(TaskAttempt attempt) {
    return Optional.ofNullable(find(attempt)).map(a -> a.state.name());
  }

  /**
   * Returns whether any attempt of a task is allocated.
   *
   * @param task the task
   * @return whether an attempt is allocated
   */
  public boolean isAllocated(TaskKey task) {
    return byTask.containsKey(task);
  }

  /**
   * Returns the sequence number of the last change.
   *
   * @return the sequence number
   */
  public long sequence() {
    return sequence;
  }

  /**
   * Lists the tasks that run or may be running.
   *
   * @param workShard the work shard; null for all
   * @return the tasks
   */
  public List<RunningTask> running(ShardId workShard) {
    return workers.values().stream()
        .flatMap(s -> s.allocations.stream())
        .filter(a -> workShard == null || workShard.equals(a.workShard))
        .map(a -> new RunningTask(a.attempt, a.workShard, a.state.name(), a.certain))
        .toList();
  }

  /**
   * Lists the resources allocated to each team.
   *
   * @return one entry for each team with allocations
   */
  public List<TeamUsage> usage() {
    return usage.entrySet().stream().map(e -> new TeamUsage(e.getKey(), e.getValue())).toList();
  }

  /**
   * Summarizes the rack for the other VMs.
   *
   * @param rack the rack
   * @param epoch the epoch of the rack shard
   * @return the digest
   */
  public RackDigest digest(RackId rack, long epoch) {
    ResourceVector free = ResourceVector.ZERO;
    ResourceVector capacity = ResourceVector.ZERO;
    ResourceVector largest = ResourceVector.ZERO;
    double largestShare = -1;
    for (WorkerState state : workers.values()) {
      ResourceVector usable = state.usable();
      double share = state.usableShare();
      free = free.plus(usable);
      if (state.accepts()) {
        capacity = capacity.plus(state.capacity());
      }
      if (share > largestShare) {
        largest = usable;
        largestShare = share;
      }
    }
    return new RackDigest(rack, epoch, free, largest, capacity, usage());
  }
}
