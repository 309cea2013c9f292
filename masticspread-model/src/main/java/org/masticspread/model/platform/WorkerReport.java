package org.masticspread.model.platform;

import java.util.List;
import org.masticspread.model.id.WorkerId;

/**
 * A report of the tasks on a worker.
 *
 * @param worker the worker
 * @param rackEpoch the highest rack epoch it has seen
 * @param tasks the tasks that run, or that have ended and are not acknowledged yet
 */
public record WorkerReport(WorkerId worker, long rackEpoch, List<WorkerTask> tasks) {

  /** Copies the list. */
  public WorkerReport {
    tasks = List.copyOf(tasks);
  }
}
