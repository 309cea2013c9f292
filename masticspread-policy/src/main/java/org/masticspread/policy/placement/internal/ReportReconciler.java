package org.masticspread.policy.placement.internal;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.masticspread.model.platform.TaskAttempt;
import org.masticspread.model.platform.TaskOrder;
import org.masticspread.model.platform.WorkerReport;
import org.masticspread.model.platform.WorkerTask;
import org.masticspread.model.platform.WorkerTaskPhase;
import org.masticspread.model.resource.ResourceVector;
import org.masticspread.policy.placement.LedgerPosition;
import org.masticspread.policy.placement.ReconcileResult;
import org.masticspread.policy.placement.WorkerOrder;

/** Reconciles the allocations with the reports of workers. Guarded by the lock of the ledger. */
public final class ReportReconciler {
  /** The maximum lag of the clock of a worker. */
  private static final Duration CLOCK_SKEW_MARGIN = Duration.ofSeconds(2);

  private final AllocationTable allocations;
  private final PreemptionPlanner planner;
  private final RecentFailures failures;

  /**
   * Creates a reconciler.
   *
   * @param allocations the allocations
   * @param planner decides which tasks may be stopped without a checkpoint
   * @param failures records the workers on which jobs fail
   */
  public ReportReconciler(
      AllocationTable allocations, PreemptionPlanner planner, RecentFailures failures) {
    this.allocations = allocations;
    this.planner = planner;
    this.failures = failures;
  }

  /**
   * Reconciles the allocations of a worker with its report.
   *
   * @param state the worker
   * @param report its report
   * @param position the position before the report was requested
   * @param now the current time
   * @return what changed
   */
  public ReconcileResult reconcile(
      WorkerState state, WorkerReport report, LedgerPosition position, Instant now) {
    List<WorkerOrder> orders = new ArrayList<>();
    Set<TaskAttempt> reported = new HashSet<>();
    for (WorkerTask task : report.tasks()) {
      TaskAttempt attempt = new TaskAttempt(task.task(), task.attempt());
      reported.add(attempt);
      if (task.phase() != WorkerTaskPhase.RUNNING) {
        end(task, state);
        continue;
      }
      Allocation allocation = allocations.find(attempt);
      update(allocation == null ? allocations.adopt(task, state) : allocation, task, now, orders);
    }
    List<TaskAttempt> gone =
        state.allocations.stream()
            .filter(a -> !reported.contains(a.attempt) && isGone(a, position))
            .map(a -> a.attempt)
            .toList();
    gone.forEach(allocations::release);
    return new ReconcileResult(gone, orders);
  }

  private void end(WorkerTask task, WorkerState state) {
    allocations.release(new TaskAttempt(task.task(), task.attempt()));
    if (task.phase() == WorkerTaskPhase.FAILED) {
      failures.add(task.task().job(), state.name());
    }
  }

  private static boolean isGone(Allocation allocation, LedgerPosition position) {
    if (allocation.certain) {
      return allocation.confirmedSequence <= position.sequence();
    }
    return allocation.sequence <= position.sequence()
        && allocation.startBefore.plus(CLOCK_SKEW_MARGIN).isBefore(position.at());
  }

  private void update(
      Allocation allocation, WorkerTask task, Instant now, List<WorkerOrder> orders) {
    allocations.confirm(allocation);
    allocation.ranFor = task.ranFor();
    boolean outgrown = task.usage().memoryBytes() > allocation.fullSize.memoryBytes();
    if (outgrown) {
      growMemory(allocation, task, now, orders);
    }
    updateThrottling(allocation, task.throttled());
  }

  private void growMemory(
      Allocation allocation, WorkerTask task, Instant now, List<WorkerOrder> orders) {
    long memory = task.usage().memoryBytes();
    long growth = memory - allocation.size.memoryBytes();
    boolean fits = growth <= allocation.state.freeMemoryBytes();
    allocation.fullSize = withMemory(allocation.fullSize, memory);
    allocations.resize(allocation, withMemory(allocation.size, memory));
    if (fits || allocation.isStopping()) {
      return;
    }
    allocation.order = planner.isRestartable(allocation) ? TaskOrder.STOP : TaskOrder.CHECKPOINT;
    allocation.orderedAt = now;
    orders.add(new WorkerOrder(allocation.state.name(), allocation.attempt, allocation.order));
  }

  private static ResourceVector withMemory(ResourceVector size, long memoryBytes) {
    return new ResourceVector(size.millicores(), memoryBytes, size.accelerators());
  }

  private void updateThrottling(Allocation allocation, boolean throttled) {
    if (throttled && allocation.order != TaskOrder.UNTHROTTLE) {
      allocations.resize(allocation, PreemptionPlanner.throttledSize(allocation.fullSize));
      clearOrder(allocation, TaskOrder.THROTTLE);
    }
    if (!throttled && allocation.order != TaskOrder.THROTTLE) {
      allocations.resize(allocation, allocation.fullSize);
      clearOrder(allocation, TaskOrder.UNTHROTTLE);
    }
  }

  private static void clearOrder(Allocation allocation, TaskOrder executed) {
    if (allocation.order == executed) {
      allocation.order = null;
    }
  }
}
