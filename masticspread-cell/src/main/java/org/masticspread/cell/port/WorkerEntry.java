package org.masticspread.cell.port;

import java.util.List;
import org.masticspread.model.resource.ResourceVector;

/**
 * A worker as it registered itself.
 *
 * @param id names the worker
 * @param endpoint the endpoint whose tasks it runs
 * @param address host and port
 * @param dataCentre where it is
 * @param rack its rack; empty if it named none
 * @param labels all its labels
 * @param capacity what its tasks may take in all
 * @param draining whether it is about to leave and takes no new task
 * @param incarnation when this life of it began, by its own account; 0 if it said nothing
 * @param vm the machine that it runs on; empty if it named none
 */
public record WorkerEntry(
    String id,
    String endpoint,
    String address,
    String dataCentre,
    String rack,
    List<String> labels,
    ResourceVector capacity,
    boolean draining,
    long incarnation,
    String vm) {

  /** Copies the list. */
  public WorkerEntry {
    labels = List.copyOf(labels);
  }
}
