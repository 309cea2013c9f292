package org.masticspread.policy.placement;

import java.util.List;
import org.masticspread.model.platform.TaskAttempt;

/**
 * What a report of a worker changed in a {@link RackLedger}.
 *
 * @param gone attempts that were booked and certainly run no more, without having been reported
 * @param orders orders for tasks that have outgrown what the worker holds
 */
public record ReconcileResult(List<TaskAttempt> gone, List<WorkerOrder> orders) {

  /** Copies the lists. */
  public ReconcileResult {
    gone = List.copyOf(gone);
    orders = List.copyOf(orders);
  }
}
