package org.masticspread.cell.port;

import java.util.List;
import org.masticspread.model.resource.ResourceVector;

/**
 * The registration of a worker.
 *
 * @param id the id of the worker
 * @param endpoint the endpoint whose tasks it runs
 * @param address host and port
 * @param dataCentre its data centre
 * @param rack its rack; empty if unknown
 * @param labels all its labels
 * @param capacity the total resources for tasks
 * @param draining whether it is about to leave and accepts no new tasks
 * @param incarnation the start time of this incarnation as reported by the worker; 0 if unknown
 * @param vm the machine that it runs on; empty if unknown
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
