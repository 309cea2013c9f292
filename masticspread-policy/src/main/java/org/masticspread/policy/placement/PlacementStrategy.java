package org.masticspread.policy.placement;

import org.masticspread.model.resource.ResourceVector;

/**
 * Rates the workers on which a task fits. The worker of the lowest cost gets the task; of equal
 * ones, the first.
 *
 * <p>Example: {@code PlacementStrategy firstFit = (free, size) -> 0;}
 */
@FunctionalInterface
public interface PlacementStrategy {
  /**
   * Rates one worker.
   *
   * @param free what is free on the worker, before the task; the task fits
   * @param size the size of the task
   * @return the cost, lower is better
   */
  double cost(FreeCapacity free, ResourceVector size);
}
