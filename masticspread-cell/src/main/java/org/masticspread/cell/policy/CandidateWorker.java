package org.masticspread.cell.policy;

import org.masticspread.model.resource.ResourceVector;

/** A worker as a placement sees it. */
public interface CandidateWorker {
  /**
   * Names the worker.
   *
   * @return its id
   */
  String id();

  /**
   * Names its rack.
   *
   * @return the rack; empty if unknown
   */
  String rack();

  /**
   * Returns what is not booked.
   *
   * @return the free part of the capacity
   */
  ResourceVector free();

  /**
   * Returns what may be booked in all.
   *
   * @return the capacity
   */
  ResourceVector capacity();

  /**
   * Returns how fast it works, learned from runs.
   *
   * @return 1 for a worker that needs as long as estimated
   */
  double speed();

  /**
   * Counts the tasks of a step that it runs.
   *
   * @param step the full name of the step
   * @return how many
   */
  int taskCount(String step);

  /**
   * Tells whether a gang waits for its room.
   *
   * @return whether a task that has the choice goes elsewhere
   */
  default boolean awaitedByGang() {
    return false;
  }
}
