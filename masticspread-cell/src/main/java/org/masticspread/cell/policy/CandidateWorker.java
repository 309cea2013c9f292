package org.masticspread.cell.policy;

import org.masticspread.model.resource.ResourceVector;

/** A worker that placement can choose for a task. */
public interface CandidateWorker {
  /**
   * Returns the id of the worker.
   *
   * @return the id
   */
  String id();

  /**
   * Returns the rack of the worker.
   *
   * @return the rack; empty if unknown
   */
  String rack();

  /**
   * Returns the unallocated resources.
   *
   * @return the free part of the capacity
   */
  ResourceVector free();

  /**
   * Returns the total resources.
   *
   * @return the capacity
   */
  ResourceVector capacity();

  /**
   * Returns the speed learned from earlier runs.
   *
   * @return the speed; 1 if tasks take as long as estimated
   */
  double speed();

  /**
   * Counts the running tasks of a step.
   *
   * @param step the full name of the step
   * @return the number of tasks
   */
  int taskCount(String step);

  /**
   * Returns whether a gang waits for the capacity of this worker.
   *
   * @return true if single tasks should prefer other workers
   */
  default boolean awaitedByGang() {
    return false;
  }
}
