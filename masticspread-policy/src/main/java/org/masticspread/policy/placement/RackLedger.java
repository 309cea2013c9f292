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
import org.masticspread.policy.placement.internal.AllocationTable;
import org.masticspread.policy.placement.internal.GangReservations;
import org.masticspread.policy.placement.internal.PreemptionPlanner;
import org.masticspread.policy.placement.internal.PreemptionReservations;
import org.masticspread.policy.placement.internal.RecentFailures;
import org.masticspread.policy.placement.internal.ReportReconciler;
import org.masticspread.policy.placement.internal.WorkerState;

/**
 * Tracks the resources allocated on the workers of one rack, from the view of the rack owner, and
 * chooses workers for tasks. A task stays allocated from the choice of its worker until it has
 * certainly ended, so no worker is ever allocated more than its capacity. Thread-safe; all state is
 * guarded by the lock of the ledger.
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
  private static final Duration PREEMPTION_RESERVATION_TTL = Duration.ofSeconds(10);

  private static final LedgerPosition INITIAL_POSITION = new LedgerPosition(0, Instant.MIN);

  private final RackId rack;
  private final InstantSource clock;
  private final PlacementStrategy strategy;

  @GuardedBy("this")
  private final AllocationTable allocations = new AllocationTable();

  @GuardedBy("this")
  private final GangReservations gangReservations = new GangReservations();

  @GuardedBy("this")
  private final PreemptionReservations preemptionReservations = new PreemptionReservations();

  @GuardedBy("this")
  private final RecentFailures failures = new RecentFailures();

  @GuardedBy("this")
  private final Map<TeamId, PoolId> pools = new HashMap<>();

  @GuardedBy("this")
  private final PreemptionPlanner planner;

  @GuardedBy("this")
  private final ReportReconciler reconciler;

  private RackLedger(
      RackId rack,
      InstantSource clock,
      PlacementStrategy strategy,
      Predicate<ClassKey> restartable) {
    this.rack = rack;
    this.clock = clock;
    this.strategy = strategy;
    this.planner = new PreemptionPlanner(restartable);
    this.reconciler = new ReportReconciler(allocations, planner, failures);
  }

  /**
   * Creates an empty ledger that never stops a task without a checkpoint.
   *
   * @param rack the rack
   * @param clock the clock
   * @return the ledger
   */
  public static RackLedger forRack(RackId rack, InstantSource clock) {
    return new RackLedger(rack, clock, new BestFit(), classKey -> false);
  }

  /**
   * Returns a new, empty ledger with the given placement strategy.
   *
   * @param newStrategy the strategy
   * @return the ledger
   */
  public synchronized RackLedger withStrategy(PlacementStrategy newStrategy) {
    return new RackLedger(rack, clock, newStrategy, planner.restartable());
  }

  /**
   * Returns a new, empty ledger that may stop tasks of some work classes without a checkpoint.
   *
   * @param restartable whether tasks of a work class may be restarted from the beginning
   * @return the ledger
   */
  public RackLedger withRestartable(Predicate<ClassKey> restartable) {
    return new RackLedger(rack, clock, strategy, restartable);
  }

  /**
   * Applies the workers of this rack and the pools of the teams.
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
   * Applies a list of workers. A new worker counts as full until its report is adopted. Leaving,
   * retired and missing workers get no new work.
   *
   * @param workers the workers of this rack
   * @return this ledger
   */
  @CanIgnoreReturnValue
  public synchronized RackLedger configure(List<WorkerConfig> workers) {
    allocations.configure(workers);
    return this;
  }

  /**
   * Adopts the tasks that a worker reports after its seal, and lets it accept new work. Tasks
   * missing from the report stay allocated, since the report may be older than the last confirmed
   * start.
   *
   * @param report the report
   * @return what changed
   */
  @CanIgnoreReturnValue
  public synchronized ReconcileResult adopt(WorkerReport report) {
    allocations.setUnreported(report.worker(), false);
    return reconcile(report, INITIAL_POSITION);
  }

  /**
   * Counts a worker as full until it reports what it runs.
   *
   * @param worker the worker
   */
  public synchronized void markUnreported(WorkerId worker) {
    allocations.setUnreported(worker, true);
  }

  /**
   * Releases all allocations on a worker whose leases have expired, and lets it accept new work.
   *
   * @param worker the worker
   * @return the attempts that were allocated there
   */
  @CanIgnoreReturnValue
  public synchronized List<TaskAttempt> leasesExpired(WorkerId worker) {
    return allocations.releaseAll(worker);
  }

  /**
   * Sets the quarantined workers, which get no new work because tasks fail on them.
   *
   * @param workers the workers to quarantine; all others leave quarantine
   */
  public synchronized void setQuarantined(Set<WorkerId> workers) {
    allocations.workers().forEach(state -> state.setQuarantined(workers.contains(state.name())));
  }

  /**
   * Chooses a worker for a task and allocates its size there. Workers on which the job failed
   * recently are the last choice. A repeated call for an allocated attempt returns the same worker;
   * another attempt of an allocated task gets none. Gang tasks only use room reserved for their
   * gang.
   *
   * @param task the task
   * @return the worker, or empty if there is no room
   */
  public synchronized Optional<WorkerId> place(PlaceTask task) {
    if (allocations.isAllocated(task.task())) {
      return allocations.workerOf(new TaskAttempt(task.task(), task.attempt()));
    }
    expire(clock.instant());
    WorkerState state = chooseWorker(task);
    if (state == null) {
      return Optional.empty();
    }
    preemptionReservations.release(task.task());
    allocations.allocate(task, state);
    return Optional.of(state.name());
  }

  @GuardedBy("this")
  private WorkerState chooseWorker(PlaceTask task) {
    if (task.kind() == JobKind.GANG) {
      return gangReservations.claim(task.task().job(), task.size());
    }
    WorkerState reserved = preemptionReservations.claim(task.task(), task.size());
    if (reserved != null) {
      return reserved;
    }
    PoolId pool = poolOf(task.task().job());
    Set<WorkerId> failedOn = failures.of(task.task().job());
    WorkerState state =
        allocations.choose(task.size(), pool, strategy, s -> !failedOn.contains(s.name()));
    return state != null || failedOn.isEmpty()
        ? state
        : allocations.choose(task.size(), pool, strategy, s -> true);
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
    allocations.confirm(attempt);
  }

  /**
   * Records that the start of an attempt failed. If it may have started, it stays allocated until a
   * report or an expired lease settles its state.
   *
   * @param attempt the attempt
   * @param certainlyNotStarted whether it certainly did not start
   */
  public synchronized void startFailed(TaskAttempt attempt, boolean certainlyNotStarted) {
    if (certainlyNotStarted) {
      allocations.release(attempt);
    }
  }

  /**
   * Records that an attempt has ended, with success or failure.
   *
   * @param attempt the attempt
   */
  public synchronized void ended(TaskAttempt attempt) {
    allocations.release(attempt);
  }

  /**
   * Returns the current position in the change history. Must be called before requesting a report.
   *
   * @return the position
   */
  public synchronized LedgerPosition position() {
    return new LedgerPosition(allocations.sequence(), clock.instant());
  }

  /**
   * Reconciles the ledger with a report of a worker.
   *
   * @param report the report
   * @param position the position before the report was requested
   * @return what changed
   */
  public synchronized ReconcileResult reconcile(WorkerReport report, LedgerPosition position) {
    WorkerState state = allocations.worker(report.worker());
    if (state == null) {
      return new ReconcileResult(List.of(), List.of());
    }
    return reconciler.reconcile(state, report, position, clock.instant());
  }

  /**
   * Reserves room for tasks of a gang, or renews and extends the reservation of the same attempt.
   *
   * @param job the gang
   * @param attempt the attempt of the gang; a later one replaces an earlier one
   * @param perTask the size of each task
   * @param wanted the maximum number of tasks to reserve room for
   * @param until when the reservation expires
   * @return the number of tasks for which room is reserved; 0 if there is no room
   */
  public synchronized int reserve(
      JobKey job, int attempt, ResourceVector perTask, int wanted, Instant until) {
    expire(clock.instant());
    return gangReservations.reserve(
        allocations, strategy, poolOf(job), job, attempt, perTask, wanted, until);
  }

  /**
   * Releases a reservation.
   *
   * @param job the gang
   * @param attempt the attempt of the gang; a reservation of a later attempt is kept
   */
  public synchronized void release(JobKey job, int attempt) {
    gangReservations.release(job, attempt);
  }

  /**
   * Releases the expired reservations of gangs and of urgent tasks.
   *
   * @param now the current time
   */
  public synchronized void expire(Instant now) {
    gangReservations.expire(now);
    preemptionReservations.expire(now);
  }

  /**
   * Preempts deferrable tasks for an urgent task for which {@link #place} found no room. The room
   * is reserved for the task for a limited time; place it again once the orders have taken effect.
   *
   * @param task the urgent task
   * @return the orders to deferrable tasks; empty if none can make room, or enough are stopping
   *     already
   */
  public synchronized List<WorkerOrder> preempt(PlaceTask task) {
    Instant now = clock.instant();
    expire(now);
    boolean urgent = task.urgency() == Urgency.URGENT && task.kind() != JobKind.GANG;
    if (!urgent || preemptionReservations.contains(task.task())) {
      return List.of();
    }
    PreemptionPlanner.Plan plan =
        planner.plan(task.size(), poolOf(task.task().job()), allocations, now);
    if (plan == null) {
      return List.of();
    }
    preemptionReservations.reserve(
        task.task(), plan.state(), task.size(), now.plus(PREEMPTION_RESERVATION_TTL));
    return plan.orders();
  }

  /**
   * Returns the orders that are due: repeats of orders without effect so far, and orders to end the
   * throttling of tasks whose cores are free again.
   *
   * @return the orders
   */
  public synchronized List<WorkerOrder> dueOrders() {
    Instant now = clock.instant();
    List<WorkerOrder> orders = new ArrayList<>(planner.repeatOrders(allocations, now));
    orders.addAll(planner.unthrottle(allocations, now));
    return orders;
  }

  /**
   * Returns the worker on which an attempt is allocated.
   *
   * @param attempt the attempt
   * @return its worker, or empty if it is not allocated
   */
  public synchronized Optional<WorkerId> workerOf(TaskAttempt attempt) {
    return allocations.workerOf(attempt);
  }

  /**
   * Lists the tasks of a work shard that run or may be running.
   *
   * @param workShard the work shard; null for all
   * @return the tasks
   */
  public synchronized List<RunningTask> running(ShardId workShard) {
    return allocations.running(workShard);
  }

  /**
   * Returns a digest of the rack for the other VMs.
   *
   * @param epoch the epoch of the rack shard
   * @return the digest
   */
  public synchronized RackDigest digest(long epoch) {
    return allocations.digest(rack, epoch);
  }
}
