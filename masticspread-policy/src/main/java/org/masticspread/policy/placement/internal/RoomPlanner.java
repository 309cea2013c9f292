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
 * Chooses which deferrable tasks give way to an urgent one: on the worker where the least work is
 * lost, at most {@link #MAX_VICTIMS}. Guarded by its ledger's lock.
 */
public final class RoomPlanner {
  /** The most tasks that give way to one urgent task. */
  public static final int MAX_VICTIMS = 4;

  /** How much of its cores a throttled task keeps, in percent. */
  public static final int THROTTLED_PERCENT = 50;

  private static final Duration ORDER_REPEAT = Duration.ofSeconds(2);
  private static final double CHECKPOINT_LOST_SECONDS = 5;
  private static final double THROTTLE_LOST_SECONDS = 1;
  private static final double GANG_FACTOR = 100;

  private record Victim(Booking booking, TaskOrder order, ResourceVector frees, double lost) {}

  /**
   * The tasks that give way on one worker.
   *
   * @param slot the worker
   * @param orders what each of them is told; empty when enough is leaving already
   */
  public record Plan(WorkerSlot slot, List<WorkerOrder> orders) {}

  private final Predicate<ClassKey> restartable;

  /**
   * Creates a planner.
   *
   * @param restartable whether tasks of a work class may run again from the start
   */
  public RoomPlanner(Predicate<ClassKey> restartable) {
    this.restartable = restartable;
  }

  /**
   * Returns which work classes may run again from the start.
   *
   * @return the predicate
   */
  public Predicate<ClassKey> restartable() {
    return restartable;
  }

  /**
   * Plans room for an urgent task, and marks those that give way.
   *
   * @param size the size of the urgent task
   * @param pool the pool of the worker; null for any
   * @param books the workers
   * @param now the present
   * @return the plan, or null if no worker can make room
   */
  public Plan plan(ResourceVector size, PoolId pool, Books books, Instant now) {
    WorkerSlot bestSlot = null;
    List<Victim> best = null;
    for (WorkerSlot slot : books.slots()) {
      if (!slot.serves(pool) || !size.fitsIn(slot.capacity())) {
        continue;
      }
      List<Victim> victims = victims(size, slot);
      if (victims != null && (best == null || lost(victims) < lost(best))) {
        best = victims;
        bestSlot = slot;
      }
    }
    if (best == null) {
      return null;
    }
    return new Plan(bestSlot, best.stream().map(v -> order(v, now)).toList());
  }

  private static double lost(List<Victim> victims) {
    return victims.stream().mapToDouble(Victim::lost).sum();
  }

  private static WorkerOrder order(Victim victim, Instant now) {
    Booking booking = victim.booking();
    booking.order = victim.order();
    booking.orderedAt = now;
    return new WorkerOrder(booking.slot.name(), booking.attempt, victim.order());
  }

  private List<Victim> victims(ResourceVector size, WorkerSlot slot) {
    ResourceVector lack = lack(size, slot);
    List<Victim> throttled = onlyCores(lack) ? cover(lack, slot, true) : null;
    return throttled != null ? throttled : cover(lack, slot, false);
  }

  private List<Victim> cover(ResourceVector whole, WorkerSlot slot, boolean throttling) {
    ResourceVector lack = whole;
    List<Victim> chosen = new ArrayList<>();
    List<Victim> candidates = candidates(slot, throttling);
    while (!lack.equals(ResourceVector.ZERO)) {
      ResourceVector missing = lack;
      Victim next =
          candidates.stream()
              .filter(v -> covered(v, missing) > 0)
              .min(Comparator.comparingDouble(v -> v.lost() / covered(v, missing)))
              .orElse(null);
      if (next == null || chosen.size() == MAX_VICTIMS) {
        return null;
      }
      candidates.remove(next);
      chosen.add(next);
      lack = Vectors.minusOrZero(lack, next.frees());
    }
    dropNeedless(chosen, whole);
    return chosen;
  }

  private static void dropNeedless(List<Victim> chosen, ResourceVector lack) {
    List<Victim> byLoss = new ArrayList<>(chosen);
    byLoss.sort(Comparator.comparingDouble(Victim::lost).reversed());
    for (Victim victim : byLoss) {
      ResourceVector others =
          chosen.stream()
              .filter(v -> v != victim)
              .map(Victim::frees)
              .reduce(ResourceVector.ZERO, ResourceVector::plus);
      if (lack.fitsIn(others)) {
        chosen.remove(victim);
      }
    }
  }

  private static ResourceVector lack(ResourceVector size, WorkerSlot slot) {
    long cores = size.millicores() - slot.freeMillicores();
    long memory = size.memoryBytes() - slot.freeMemoryBytes();
    long accelerators = (long) size.accelerators() - slot.freeAccelerators();
    for (Booking booking : slot.bookings) {
      if (booking.isLeaving()) {
        cores -= booking.size.millicores();
        memory -= booking.size.memoryBytes();
        accelerators -= booking.size.accelerators();
      }
    }
    return new ResourceVector(
        Math.max(0, cores), Math.max(0, memory), (int) Math.max(0, accelerators));
  }

  private static boolean onlyCores(ResourceVector lack) {
    return lack.memoryBytes() == 0 && lack.accelerators() == 0;
  }

  private static double covered(Victim victim, ResourceVector lack) {
    ResourceVector covered = Vectors.min(victim.frees(), lack);
    double cores = part(covered.millicores(), lack.millicores());
    double memory = part(covered.memoryBytes(), lack.memoryBytes());
    return cores + memory + part(covered.accelerators(), lack.accelerators());
  }

  private static double part(long covered, long lack) {
    return lack == 0 ? 0 : (double) covered / lack;
  }

  private List<Victim> candidates(WorkerSlot slot, boolean throttling) {
    List<Victim> victims = new ArrayList<>();
    for (Booking booking : slot.bookings) {
      if (booking.urgency != Urgency.DEFERRABLE || booking.order != null || !booking.certain) {
        continue;
      }
      victims.add(throttling ? throttled(booking) : evicted(booking));
    }
    return victims;
  }

  private static Victim throttled(Booking booking) {
    ResourceVector frees = Vectors.minusOrZero(booking.fullSize, throttledSize(booking.fullSize));
    double lost = THROTTLE_LOST_SECONDS * weight(booking);
    return new Victim(booking, TaskOrder.THROTTLE, frees, lost);
  }

  private Victim evicted(Booking booking) {
    double ran = booking.ranFor.toMillis() / 1000.0;
    boolean stop = ran < CHECKPOINT_LOST_SECONDS && isRestartable(booking);
    double seconds = stop ? ran : CHECKPOINT_LOST_SECONDS;
    TaskOrder order = stop ? TaskOrder.STOP : TaskOrder.CHECKPOINT;
    return new Victim(booking, order, booking.size, seconds * weight(booking));
  }

  private static double weight(Booking booking) {
    double share = Vectors.dominantShare(booking.fullSize, booking.slot.capacity());
    return booking.kind == JobKind.GANG ? share * GANG_FACTOR : share;
  }

  /**
   * Tells whether an attempt may be stopped without saving its progress.
   *
   * @param booking the booking
   * @return whether its work class allows it
   */
  boolean isRestartable(Booking booking) {
    return booking.classKey != null && restartable.test(booking.classKey);
  }

  static ResourceVector throttledSize(ResourceVector size) {
    return new ResourceVector(
        size.millicores() * THROTTLED_PERCENT / 100, size.memoryBytes(), size.accelerators());
  }

  /**
   * Repeats the orders that show no effect yet. A checkpoint that takes too long becomes a stop
   * where the work class allows it.
   *
   * @param books the workers
   * @param now the present
   * @return the orders to send again
   */
  public List<WorkerOrder> repeat(Books books, Instant now) {
    List<WorkerOrder> orders = new ArrayList<>();
    for (WorkerSlot slot : books.slots()) {
      for (Booking booking : slot.bookings) {
        if (booking.order == null || now.isBefore(booking.orderedAt.plus(ORDER_REPEAT))) {
          continue;
        }
        if (booking.order == TaskOrder.CHECKPOINT && isRestartable(booking)) {
          booking.order = TaskOrder.STOP;
        }
        booking.orderedAt = now;
        orders.add(new WorkerOrder(slot.name(), booking.attempt, booking.order));
      }
    }
    return orders;
  }

  /**
   * Lets throttled tasks run at full speed where their cores are free again, and books the cores.
   *
   * @param books the workers
   * @param now the present
   * @return the orders
   */
  public List<WorkerOrder> relax(Books books, Instant now) {
    List<WorkerOrder> orders = new ArrayList<>();
    for (WorkerSlot slot : books.slots()) {
      for (Booking booking : slot.bookings) {
        ResourceVector back = Vectors.minusOrZero(booking.fullSize, booking.size);
        if (booking.order != null || back.equals(ResourceVector.ZERO) || !slot.fits(back)) {
          continue;
        }
        books.resize(booking, booking.fullSize);
        booking.order = TaskOrder.UNTHROTTLE;
        booking.orderedAt = now;
        orders.add(new WorkerOrder(slot.name(), booking.attempt, TaskOrder.UNTHROTTLE));
      }
    }
    return orders;
  }
}
