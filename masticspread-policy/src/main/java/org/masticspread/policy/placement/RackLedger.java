package org.masticspread.policy.placement;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.config.TeamConfig;
import org.masticspread.model.config.WorkerConfig;
import org.masticspread.model.id.ClassKey;
import org.masticspread.model.id.JobKey;
import org.masticspread.model.id.PoolId;
import org.masticspread.model.id.RackId;
import org.masticspread.model.id.ShardId;
import org.masticspread.model.id.TeamId;
import org.masticspread.model.id.WorkerId;
import org.masticspread.model.peer.PlaceTask;
import org.masticspread.model.peer.RackDigest;
import org.masticspread.model.peer.RunningTask;
import org.masticspread.model.platform.TaskAttempt;
import org.masticspread.model.platform.WorkerReport;
import org.masticspread.model.resource.ResourceVector;
import org.masticspread.model.work.JobKind;
import org.masticspread.model.work.Urgency;
import org.masticspread.policy.placement.internal.Books;
import org.masticspread.policy.placement.internal.GangHolds;
import org.masticspread.policy.placement.internal.Observer;
import org.masticspread.policy.placement.internal.Promises;
import org.masticspread.policy.placement.internal.RecentFailures;
import org.masticspread.policy.placement.internal.RoomPlanner;
import org.masticspread.policy.placement.internal.WorkerSlot;

/**
 * What the workers of one rack hold, as their owner knows it, and the choice of a worker for a
 * task. A task is booked from the choice on until it certainly runs no more, so no worker is ever
 * given more than its capacity. Thread-safe; all state is under the lock of the ledger.
 *
 * <pre>{@code
 * RackLedger ledger = RackLedger.forRack(rack, clock).configure(configuration);
 * ledger.adopt(port.seal(worker, epoch));
 * Optional<WorkerId> worker = ledger.place(task);
 * // start the task on the worker, then one of:
 * ledger.started(attempt);
 * ledger.startFailed(attempt, certainlyNotStarted);
 * }</pre>
 */
public final class RackLedger {
  private static final Duration PROMISE_TTL = Duration.ofSeconds(10);

  private static final LedgerPosition INITIAL_POSITION = new LedgerPosition(0, Instant.MIN);

  private final RackId rack;
  private final InstantSource clock;
  private final PlacementStrategy strategy;

  @GuardedBy("this")
  private final Books books = new Books();

  @GuardedBy("this")
  private final GangHolds holds = new GangHolds();

  @GuardedBy("this")
  private final Promises promises = new Promises();

  @GuardedBy("this")
  private final RecentFailures failures = new RecentFailures();

  @GuardedBy("this")
  private final Map<TeamId, PoolId> pools = new HashMap<>();

  @GuardedBy("this")
  private final RoomPlanner planner;

  @GuardedBy("this")
  private final Observer observer;

  private RackLedger(
      RackId rack,
      InstantSource clock,
      PlacementStrategy strategy,
      Predicate<ClassKey> restartable) {
    this.rack = rack;
    this.clock = clock;
    this.strategy = strategy;
    this.planner = new RoomPlanner(restartable);
    this.observer = new Observer(books, planner, failures);
  }

  /**
   * Creates an empty ledger that stops no task without a checkpoint.
   *
   * @param rack the rack
   * @param clock tells the time
   * @return the ledger
   */
  public static RackLedger forRack(RackId rack, InstantSource clock) {
    return new RackLedger(rack, clock, new BestFit(), classKey -> false);
  }

  /**
   * Returns an empty ledger with another rating of workers.
   *
   * @param other the rating
   * @return a new ledger
   */
  public synchronized RackLedger withStrategy(PlacementStrategy other) {
    return new RackLedger(rack, clock, other, planner.restartable());
  }

  /**
   * Returns an empty ledger that may stop tasks of some work classes without a checkpoint.
   *
   * @param restartable whether tasks of a work class may run again from the start
   * @return a new ledger
   */
  public RackLedger withRestartable(Predicate<ClassKey> restartable) {
    return new RackLedger(rack, clock, strategy, restartable);
  }

  /**
   * Takes over the workers of this rack and the pools of the teams.
   *
   * @param configuration the configuration
   * @return this ledger
   */
  @CanIgnoreReturnValue
  public synchronized RackLedger configure(Configuration configuration) {
    pools.clear();
    for (TeamConfig team : configuration.teams()) {
      pools.put(team.name(), team.pool());
    }
    return configure(configuration.workers().stream().filter(w -> w.rack().equals(rack)).toList());
  }

  /**
   * Takes over workers. A new worker counts as full until its report is adopted. Workers that are
   * leaving, retired or missing get nothing new.
   *
   * @param workers the workers of this rack
   * @return this ledger
   */
  @CanIgnoreReturnValue
  public synchronized RackLedger configure(List<WorkerConfig> workers) {
    books.configure(workers);
    return this;
  }

  /**
   * Takes in what a worker told after its seal, and gives it new work from now on. Frees nothing
   * because it is missing in the report, which may be older than the last confirmed start.
   *
   * @param report the report
   * @return what changed
   */
  @CanIgnoreReturnValue
  public synchronized ReconcileResult adopt(WorkerReport report) {
    books.hold(report.worker(), false);
    return reconcile(report, INITIAL_POSITION);
  }

  /**
   * Counts a worker as full because it has not told what it runs.
   *
   * @param worker the worker
   */
  public synchronized void markUnreported(WorkerId worker) {
    books.hold(worker, true);
  }

  /**
   * Frees a worker whose leases have all lapsed; it gets new work from now on.
   *
   * @param worker the worker
   * @return the attempts that were booked there
   */
  @CanIgnoreReturnValue
  public synchronized List<TaskAttempt> leasesExpired(WorkerId worker) {
    return books.lapse(worker);
  }

  /**
   * Gives the named workers nothing new because tasks fail on them, and all others new work again.
   *
   * @param workers the workers to put aside
   */
  public synchronized void setQuarantined(Set<WorkerId> workers) {
    books.slots().forEach(slot -> slot.setQuarantined(workers.contains(slot.name())));
  }

  /**
   * Chooses a worker for a task and books the task there; workers on which its job failed lately
   * come last. A repeat of a booked attempt gets the same worker; another attempt of a booked task
   * gets none. A task of a gang goes only into room reserved for its gang.
   *
   * @param task the task
   * @return the worker, or empty if there is no room
   */
  public synchronized Optional<WorkerId> place(PlaceTask task) {
    if (books.isBooked(task.task())) {
      return books.workerOf(new TaskAttempt(task.task(), task.attempt()));
    }
    expire(clock.instant());
    WorkerSlot slot = room(task);
    if (slot == null) {
      return Optional.empty();
    }
    promises.drop(task.task());
    books.book(task, slot);
    return Optional.of(slot.name());
  }

  @GuardedBy("this")
  private WorkerSlot room(PlaceTask task) {
    if (task.kind() == JobKind.GANG) {
      return holds.consume(task.task().job(), task.size());
    }
    WorkerSlot promised = promises.redeem(task.task(), task.size());
    if (promised != null) {
      return promised;
    }
    PoolId pool = poolOf(task.task().job());
    Set<WorkerId> failedOn = failures.of(task.task().job());
    WorkerSlot slot = books.choose(task.size(), pool, strategy, s -> !failedOn.contains(s.name()));
    return slot != null || failedOn.isEmpty()
        ? slot
        : books.choose(task.size(), pool, strategy, s -> true);
  }

  @GuardedBy("this")
  private PoolId poolOf(JobKey job) {
    return pools.get(job.team());
  }

  /**
   * Confirms that a worker has started an attempt.
   *
   * @param attempt the attempt
   */
  public synchronized void started(TaskAttempt attempt) {
    books.confirm(attempt);
  }

  /**
   * Tells that the start of an attempt failed. Without certainty the attempt stays booked until a
   * report or a lapsed lease tells.
   *
   * @param attempt the attempt
   * @param certainlyNotStarted whether it certainly did not start
   */
  public synchronized void startFailed(TaskAttempt attempt, boolean certainlyNotStarted) {
    if (certainlyNotStarted) {
      books.release(attempt);
    }
  }

  /**
   * Tells that an attempt has ended, well or badly.
   *
   * @param attempt the attempt
   */
  public synchronized void ended(TaskAttempt attempt) {
    books.release(attempt);
  }

  /**
   * Returns the present point in the history, to be taken before a worker is asked for a report.
   *
   * @return the position
   */
  public synchronized LedgerPosition position() {
    return new LedgerPosition(books.sequence(), clock.instant());
  }

  /**
   * Takes in a report of a worker.
   *
   * @param report the report
   * @param position the position that was taken before the worker was asked
   * @return what changed
   */
  public synchronized ReconcileResult reconcile(WorkerReport report, LedgerPosition position) {
    WorkerSlot slot = books.slot(report.worker());
    if (slot == null) {
      return new ReconcileResult(List.of(), List.of());
    }
    return observer.observe(slot, report, position, clock.instant());
  }

  /**
   * Reserves room for tasks of a gang, or renews and fills up what the same attempt has reserved.
   *
   * @param job the gang
   * @param attempt the attempt of the gang; a later one replaces an earlier one
   * @param perTask the size of each task
   * @param wanted the most tasks to reserve for
   * @param until when the reservation lapses
   * @return the number of tasks reserved for; 0 when there is no room
   */
  public synchronized int reserve(
      JobKey job, int attempt, ResourceVector perTask, int wanted, Instant until) {
    expire(clock.instant());
    return holds.reserve(books, strategy, poolOf(job), job, attempt, perTask, wanted, until);
  }

  /**
   * Gives a reservation back.
   *
   * @param job the gang
   * @param attempt the attempt of the gang; a reservation of a later one stays
   */
  public synchronized void release(JobKey job, int attempt) {
    holds.release(job, attempt);
  }

  /**
   * Gives back reservations and promised room that have lapsed.
   *
   * @param now the present
   */
  public synchronized void expire(Instant now) {
    holds.expire(now);
    promises.expire(now);
  }

  /**
   * Plans room for an urgent task that {@link #place} found none for. The room is kept for the task
   * for a while; place it again once the orders have taken effect.
   *
   * @param task the urgent task
   * @return orders to deferrable tasks; empty when none can make room, or enough is leaving already
   */
  public synchronized List<WorkerOrder> preempt(PlaceTask task) {
    Instant now = clock.instant();
    expire(now);
    boolean urgent = task.urgency() == Urgency.URGENT && task.kind() != JobKind.GANG;
    if (!urgent || promises.contains(task.task())) {
      return List.of();
    }
    RoomPlanner.Plan plan = planner.plan(task.size(), poolOf(task.task().job()), books, now);
    if (plan == null) {
      return List.of();
    }
    promises.promise(task.task(), plan.slot(), task.size(), now.plus(PROMISE_TTL));
    return plan.orders();
  }

  /**
   * Returns orders that are due: those without effect so far again, and full speed for throttled
   * tasks whose cores are free again.
   *
   * @return the orders
   */
  public synchronized List<WorkerOrder> dueOrders() {
    Instant now = clock.instant();
    List<WorkerOrder> orders = new ArrayList<>(planner.repeat(books, now));
    orders.addAll(planner.relax(books, now));
    return orders;
  }

  /**
   * Tells where an attempt is booked.
   *
   * @param attempt the attempt
   * @return its worker, or empty if it is not booked
   */
  public synchronized Optional<WorkerId> workerOf(TaskAttempt attempt) {
    return books.workerOf(attempt);
  }

  /**
   * Lists what runs, or may run, for a work shard.
   *
   * @param workShard the work shard; null for all
   * @return the tasks
   */
  public synchronized List<RunningTask> running(ShardId workShard) {
    return books.running(workShard);
  }

  /**
   * Returns the state of the rack for the other VMs.
   *
   * @param epoch the epoch of the rack shard
   * @return the state
   */
  public synchronized RackDigest digest(long epoch) {
    return books.digest(rack, epoch);
  }
}
