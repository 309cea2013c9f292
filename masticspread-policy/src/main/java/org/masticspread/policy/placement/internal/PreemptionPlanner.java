package org.masticspread.policy.placement.internal;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import org.masticspread.model.id.ClassKey;
import org.masticspread.model.id.PoolId;
import org.masticspread.model.platform.TaskOrder;
import org.masticspread.model.resource.ResourceVector;
import org.masticspread.model.work.JobKind;
import org.masticspread.model.work.Urgency;
import org.masticspread.policy.placement.WorkerOrder;

/**
 * Chooses the deferrable tasks to preempt for an urgent one: at most {@link #MAX_VICTIMS}, on the
 * worker where the least work is lost. Guarded by the lock of the ledger.
 */
public final class PreemptionPlanner {
  /** The maximum number of tasks preempted for one urgent task. */
  public static final int MAX_VICTIMS = 4;

  /** The percentage of its cores that a throttled task keeps. */
  public static final int THROTTLED_PERCENT = 50;

  private static final Duration ORDER_REPEAT_INTERVAL = Duration.ofSeconds(2);
  private static final double CHECKPOINT_COST_SECONDS = 5;
  private static final double THROTTLE_COST_SECONDS = 1;
  private static final double GANG_COST_FACTOR = 100;

  private record Victim(
      Allocation allocation, TaskOrder order, ResourceVector freed, double cost) {}

  /**
   * The preemption of tasks on one worker.
   *
   * @param state the worker
   * @param orders the orders to the tasks; empty if enough tasks are stopping already
   */
  public record Plan(WorkerState state, List<WorkerOrder> orders) {}

  private final Predicate<ClassKey> restartable;

  /**
   * Creates a planner.
   *
   * @param restartable whether tasks of a work class may be restarted from the beginning
   */
  public PreemptionPlanner(Predicate<ClassKey> restartable) {
    this.restartable = restartable;
  }

  /**
   * Returns which work classes may be restarted from the beginning.
   *
   * @return the predicate
   */
  public Predicate<ClassKey> restartable() {
    return restartable;
  }

  /**
   * Plans the preemption for an urgent task, and records the orders in the allocations.
   *
   * @param size the size of the urgent task
   * @param pool the pool of the worker; null for any
   * @param allocations the workers of the rack and their allocations
   * @param now the current time
   * @return the plan, or null if no worker can free enough room
   */
  public Plan plan(ResourceVector size, PoolId pool, AllocationTable allocations, Instant now) {
    WorkerState bestState = null;
    List<Victim> best = null;
    for (WorkerState state : allocations.workers()) {
      if (!state.serves(pool) || !size.fitsIn(state.capacity())) {
        continue;
      }
      List<Victim> victims = victims(size, state);
      if (victims != null && (best == null || cost(victims) < cost(best))) {
        best = victims;
        bestState = state;
      }
    }
    if (best == null) {
      return null;
    }
    return new Plan(bestState, best.stream().map(v -> order(v, now)).toList());
  }

  private static double cost(List<Victim> victims) {
    return victims.stream().mapToDouble(Victim::cost).sum();
  }

  private static WorkerOrder order(Victim victim, Instant now) {
    Allocation allocation = victim.allocation();
    allocation.order = victim.order();
    allocation.orderedAt = now;
    return new WorkerOrder(allocation.state.name(), allocation.attempt, victim.order());
  }

  private List<Victim> victims(ResourceVector size, WorkerState state) {
    ResourceVector missing = missing(size, state);
    List<Victim> throttled = onlyCoresMissing(missing) ? cover(missing, state, true) : null;
    return throttled != null ? throttled : cover(missing, state, false);
  }

  private List<Victim> cover(ResourceVector required, WorkerState state, boolean throttling) {
    ResourceVector missing = required;
    List<Victim> chosen = new ArrayList<>();
    List<Victim> candidates = candidates(state, throttling);
    while (!missing.equals(ResourceVector.ZERO)) {
      ResourceVector remaining = missing;
      Victim next =
          candidates.stream()
              .filter(v -> covered(v, remaining) > 0)
              .min(Comparator.comparingDouble(v -> v.cost() / covered(v, remaining)))
              .orElse(null);
      if (next == null || chosen.size() == MAX_VICTIMS) {
        return null;
      }
      candidates.remove(next);
      chosen.add(next);
      missing = Vectors.minusOrZero(missing, next.freed());
    }
    removeUnneeded(chosen, required);
    return chosen;
  }

  private static void removeUnneeded(List<Victim> chosen, ResourceVector missing) {
    List<Victim> byCost = new ArrayList<>(chosen);
    byCost.sort(Comparator.comparingDouble(Victim::cost).reversed());
    for (Victim victim : byCost) {
      ResourceVector others =
          chosen.stream()
              .filter(v -> v != victim)
              .map(Victim::freed)
              .reduce(ResourceVector.ZERO, ResourceVector::plus);
      if (missing.fitsIn(others)) {
        chosen.remove(victim);
      }
    }
  }

  private static ResourceVector missing(ResourceVector size, WorkerState state) {
    long cores = size.millicores() - state.freeMillicores();
    long memory = size.memoryBytes() - state.freeMemoryBytes();
    long accelerators = (long) size.accelerators() - state.freeAccelerators();
    for (Allocation allocation : state.allocations) {
      if (allocation.isStopping()) {
        cores -= allocation.size.millicores();
        memory -= allocation.size.memoryBytes();
        accelerators -= allocation.size.accelerators();
      }
    }
    return new ResourceVector(
        Math.max(0, cores), Math.max(0, memory), (int) Math.max(0, accelerators));
  }

  private static boolean onlyCoresMissing(ResourceVector missing) {
    return missing.memoryBytes() == 0 && missing.accelerators() == 0;
  }

  private static double covered(Victim victim, ResourceVector missing) {
    ResourceVector covered = Vectors.min(victim.freed(), missing);
    double cores = part(covered.millicores(), missing.millicores());
    double memory = part(covered.memoryBytes(), missing.memoryBytes());
    return cores + memory + part(covered.accelerators(), missing.accelerators());
  }

  private static double part(long covered, long missing) {
    return missing == 0 ? 0 : (double) covered / missing;
  }

  private List<Victim> candidates(WorkerState state, boolean throttling) {
    List<Victim> victims = new ArrayList<>();
    for (Allocation allocation : state.allocations) {
      if (allocation.urgency != Urgency.DEFERRABLE
          || allocation.order != null
          || !allocation.certain) {
        continue;
      }
      victims.add(throttling ? throttled(allocation) : evicted(allocation));
    }
    return victims;
  }

  private static Victim throttled(Allocation allocation) {
    ResourceVector freed =
        Vectors.minusOrZero(allocation.fullSize, throttledSize(allocation.fullSize));
    double cost = THROTTLE_COST_SECONDS * weight(allocation);
    return new Victim(allocation, TaskOrder.THROTTLE, freed, cost);
  }

  private Victim evicted(Allocation allocation) {
    double ran = allocation.ranFor.toMillis() / 1000.0;
    boolean stop = ran < CHECKPOINT_COST_SECONDS && isRestartable(allocation);
    double seconds = stop ? ran : CHECKPOINT_COST_SECONDS;
    TaskOrder order = stop ? TaskOrder.STOP : TaskOrder.CHECKPOINT;
    return new Victim(allocation, order, allocation.size, seconds * weight(allocation));
  }

  private static double weight(Allocation allocation) {
    double share = Vectors.dominantShare(allocation.fullSize, allocation.state.capacity());
    return allocation.kind == JobKind.GANG ? share * GANG_COST_FACTOR : share;
  }

  /**
   * Returns whether an attempt may be stopped without a checkpoint.
   *
   * @param allocation the allocation
   * @return whether its work class allows it
   */
  boolean isRestartable(Allocation allocation) {
    return allocation.classKey != null && restartable.test(allocation.classKey);
  }

  static ResourceVector throttledSize(ResourceVector size) {
    return new ResourceVector(
        size.millicores() * THROTTLED_PERCENT / 100, size.memoryBytes(), size.accelerators());
  }

  /**
   * Repeats the orders that have had no effect yet. A checkpoint that takes too long becomes a stop
   * if the work class allows it.
   *
   * @param allocations the workers of the rack and their allocations
   * @param now the current time
   * @return the orders to resend
   */
  public List<WorkerOrder> repeatOrders(AllocationTable allocations, Instant now) {
    List<WorkerOrder> orders = new ArrayList<>();
    for (WorkerState state : allocations.workers()) {
      for (Allocation allocation : state.allocations) {
        if (allocation.order == null
            || now.isBefore(allocation.orderedAt.plus(ORDER_REPEAT_INTERVAL))) {
          continue;
        }
        if (allocation.order == TaskOrder.CHECKPOINT && isRestartable(allocation)) {
          allocation.order = TaskOrder.STOP;
        }
        allocation.orderedAt = now;
        orders.add(new WorkerOrder(state.name(), allocation.attempt, allocation.order));
      }
    }
    return orders;
  }

  /**
   * Ends the throttling of tasks whose cores are free again, and allocates these cores.
   *
   * @param allocations the workers of the rack and their allocations
   * @param now the current time
   * @return the orders
   */
  public List<WorkerOrder> unthrottle(AllocationTable allocations, Instant now) {
    List<WorkerOrder> orders = new ArrayList<>();
    for (WorkerState state : allocations.workers()) {
      for (Allocation allocation : state.allocations) {
        ResourceVector withheld = Vectors.minusOrZero(allocation.fullSize, allocation.size);
        if (allocation.order != null
            || withheld.equals(ResourceVector.ZERO)
            || !state.fits(withheld)) {
          continue;
        }
        allocations.resize(allocation, allocation.fullSize);
        allocation.order = TaskOrder.UNTHROTTLE;
        allocation.orderedAt = now;
        orders.add(new WorkerOrder(state.name(), allocation.attempt, TaskOrder.UNTHROTTLE));
      }
    }
    return orders;
  }
}
