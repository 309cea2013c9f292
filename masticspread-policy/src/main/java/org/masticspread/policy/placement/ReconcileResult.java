package org.masticspread.policy.placement;

import java.util.List;
import org.masticspread.model.platform.TaskAttempt;

/**
 * The changes made to a {@link RackLedger} by a report of a worker.
 *
 * @param gone the allocated attempts that are missing from the report and certainly not running
 * @param orders the orders for tasks that have outgrown the memory of the worker
 */
public record ReconcileResult(List<TaskAttempt> gone, List<WorkerOrder> orders) {

  /** Copies the lists. */
  public ReconcileResult {
    gone = List.copyOf(gone);
    orders = List.copyOf(orders);
  }
}
