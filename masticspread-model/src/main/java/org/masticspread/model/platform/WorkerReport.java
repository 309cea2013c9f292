package org.masticspread.model.platform;

import java.util.List;
import org.masticspread.model.id.WorkerId;

/**
 * What a worker holds.
 *
 * @param worker the worker
 * @param rackEpoch the highest rack epoch it has seen
 * @param tasks tasks that run or that wait for an acknowledgement
 */
public record WorkerReport(WorkerId worker, long rackEpoch, List<WorkerTask> tasks) {

  /** Copies the list. */
  public WorkerReport {
    tasks = List.copyOf(tasks);
  }
}
