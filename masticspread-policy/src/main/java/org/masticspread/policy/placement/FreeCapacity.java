package org.masticspread.policy.placement;

import org.masticspread.model.resource.ResourceVector;

/** The free resources of one worker, as input of a {@link PlacementStrategy}. */
public interface FreeCapacity {
  /**
   * Returns the free processors.
   *
   * @return thousandths of a core; negative if more is allocated than the worker is configured for
   */
  long freeMillicores();

  /**
   * Returns the free memory.
   *
   * @return bytes; negative if more is allocated than the worker is configured for
   */
  long freeMemoryBytes();

  /**
   * Returns the free accelerators.
   *
   * @return whole accelerators; negative if more is allocated than the worker is configured for
   */
  int freeAccelerators();

  /**
   * Returns the total capacity of the worker.
   *
   * @return the capacity
   */
  ResourceVector capacity();

  /**
   * Returns whether a size fits into the free resources.
   *
   * @param size the size
   * @return whether each amount fits
   */
  default boolean fits(ResourceVector size) {
    return size.millicores() <= freeMillicores()
        && size.memoryBytes() <= freeMemoryBytes()
        && size.accelerators() <= freeAccelerators();
  }
}
