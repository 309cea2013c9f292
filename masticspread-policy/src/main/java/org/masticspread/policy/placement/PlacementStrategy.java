package org.masticspread.policy.placement;

import org.masticspread.model.resource.ResourceVector;

/**
 * Computes the cost of placing a task on a worker. The task goes to the worker of the lowest cost,
 * or to the first of several with equal cost.
 *
 * <p>Example: {@code PlacementStrategy firstFit = (free, size) -> 0;}
 */
@FunctionalInterface
public interface PlacementStrategy {
  /**
   * Returns the cost of placing a task on one worker.
   *
   * @param free the free resources of the worker before the placement; the task fits
   * @param size the size of the task
   * @return the cost; lower is better
   */
  double cost(FreeCapacity free, ResourceVector size);
}
