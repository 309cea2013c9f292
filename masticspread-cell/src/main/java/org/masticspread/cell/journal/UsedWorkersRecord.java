package org.masticspread.cell.journal;

import java.util.List;
import org.masticspread.model.resource.ResourceVector;

/**
 * Workers on which a leader may have started tasks. A later leader asks them too, since the
 * registry may have lost the entry of a worker that still runs some.
 *
 * @param workers the workers
 */
public record UsedWorkersRecord(List<Used> workers) {
  /** Copies the list. */
  public UsedWorkersRecord {
    workers = List.copyOf(workers);
  }

  /**
   * What is needed to reach a worker and to book what runs there.
   *
   * @param id names the worker
   * @param address host and port
   * @param capacity what its tasks may take in all
   */
  public record Used(String id, String address, ResourceVector capacity) {}
}
