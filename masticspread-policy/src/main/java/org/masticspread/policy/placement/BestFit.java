package org.masticspread.policy.placement;

import org.masticspread.model.resource.ResourceVector;

/**
 * Multi-resource best fit: fills the tightest worker, keeps what is left in the proportion of the
 * worker's capacity, and keeps accelerators for the work that needs them.
 */
public final class BestFit implements PlacementStrategy {
  private static final double IMBALANCE_WEIGHT = 1.0;
  private static final double ACCELERATOR_PENALTY = 10.0;

  @Override
  public double cost(Hole hole, ResourceVector size) {
    ResourceVector capacity = hole.capacity();
    double cores = left(hole.freeMillicores(), size.millicores(), capacity.millicores());
    double memory = left(hole.freeMemoryBytes(), size.memoryBytes(), capacity.memoryBytes());
    double cost = cores + memory + IMBALANCE_WEIGHT * Math.abs(cores - memory);
    if (hole.freeAccelerators() == 0) {
      return cost;
    }
    if (size.accelerators() == 0) {
      return cost + ACCELERATOR_PENALTY;
    }
    return cost + left(hole.freeAccelerators(), size.accelerators(), capacity.accelerators());
  }

  private static double left(long free, long size, long capacity) {
    return capacity == 0 ? 0 : (double) (free - size) / capacity;
  }
}
