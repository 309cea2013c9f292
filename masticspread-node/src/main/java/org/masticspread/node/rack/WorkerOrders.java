package org.masticspread.node.rack;

import com.google.common.flogger.FluentLogger;
import org.masticspread.model.id.WorkerId;
import org.masticspread.model.platform.TaskAttempt;
import org.masticspread.model.platform.TaskOrder;
import org.masticspread.model.platform.WorkerException;
import org.masticspread.model.platform.WorkerPort;

/** Sends orders to workers; their effect shows in the next report of the worker. */
final class WorkerOrders {
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  private WorkerOrders() {}

  static void send(
      WorkerPort workers, WorkerId worker, long rackEpoch, TaskAttempt task, TaskOrder order) {
    try {
      workers.order(worker, rackEpoch, task, order);
    } catch (WorkerException e) {
      LOG.atWarning().log("rack: order %s to %s failed: %s", order, worker, e.getMessage());
    }
  }
}
