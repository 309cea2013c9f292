package org.masticspread.policy.placement;

import org.masticspread.model.id.WorkerId;
import org.masticspread.model.platform.TaskAttempt;
import org.masticspread.model.platform.TaskOrder;

/**
 * An order to a worker that changes the resources of a running task.
 *
 * @param worker the worker
 * @param task the running attempt
 * @param order the order
 */
public record WorkerOrder(WorkerId worker, TaskAttempt task, TaskOrder order) {}
