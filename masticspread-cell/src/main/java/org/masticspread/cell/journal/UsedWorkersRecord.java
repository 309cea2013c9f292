package org.masticspread.cell.journal;

import java.util.List;
import org.masticspread.model.resource.ResourceVector;

/**
 * Workers on which a leader may have started tasks. A later leader queries them as well, since the
 * registry may have lost the entry of a worker that still runs tasks.
 *
 * @param workers the workers
 */
public record UsedWorkersRecord(List<Used> workers) {
  /** Copies the list. */
  public UsedWorkersRecord {
    workers = List.copyOf(workers);
  }

  /**
   * The data needed to reach a worker and to account for the tasks that run there.
   *
   * @param id the id of the worker
   * @param address its host and port
   * @param capacity the resources that its tasks may use in total
   */
  public record Used(String id, String address, ResourceVector capacity) {}
}
