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
   * @param incarnation the start time of the incarnation that may run tasks; 0 if unknown
   * @param strayLeaseUntilMillis the latest end, on the worker's clock, of a lease that a call for
   *     an earlier incarnation may have granted to this one; 0 for none
   */
  public record Used(
      String id,
      String address,
      ResourceVector capacity,
      long incarnation,
      long strayLeaseUntilMillis) {}
}
