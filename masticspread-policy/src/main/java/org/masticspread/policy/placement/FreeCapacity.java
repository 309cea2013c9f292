package org.masticspread.policy.placement;

import org.masticspread.model.resource.ResourceVector;

/** What is free on one worker, as a {@link PlacementStrategy} sees it. */
public interface FreeCapacity {
  /**
   * Returns the free processors.
   *
   * @return thousandths of a core; negative when the worker holds more than its settings allow
   */
  long freeMillicores();

  /**
   * Returns the free memory.
   *
   * @return bytes; negative when the worker holds more than its settings allow
   */
  long freeMemoryBytes();

  /**
   * Returns the free accelerators.
   *
   * @return whole accelerators; negative when the worker holds more than its settings allow
   */
  int freeAccelerators();

  /**
   * Returns what the worker holds when empty.
   *
   * @return the capacity
   */
  ResourceVector capacity();

  /**
   * Tells whether a size fits into what is free.
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
