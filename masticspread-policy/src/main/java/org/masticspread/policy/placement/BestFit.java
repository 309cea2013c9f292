package org.masticspread.policy.placement;

import org.masticspread.model.resource.ResourceVector;

/**
 * Multi-resource best fit: fills the tightest worker, keeps what is left in the proportion of the
 * worker's capacity, breaks up no large hole while a small one does, and keeps accelerators for the
 * work that needs them.
 */
public final class BestFit implements PlacementStrategy {
  private static final double IMBALANCE_WEIGHT = 2.0;
  private static final double BROKEN_HOLE_WEIGHT = 2.0;
  private static final double ACCELERATOR_PENALTY = 10.0;

  /** The least part of a worker that counts as a hole; it doubles from one size to the next. */
  private static final int SMALLEST_HOLE_DIVISOR = 16;

  private static final double ROUNDING = 1e-9;

  @Override
  public double cost(FreeCapacity free, ResourceVector size) {
    ResourceVector capacity = free.capacity();
    double freeCores = part(free.freeMillicores(), capacity.millicores());
    double freeMemory = part(free.freeMemoryBytes(), capacity.memoryBytes());
    double cores = freeCores - part(size.millicores(), capacity.millicores());
    double memory = freeMemory - part(size.memoryBytes(), capacity.memoryBytes());
    double cost = cores + memory + IMBALANCE_WEIGHT * Math.abs(cores - memory);
    cost += BROKEN_HOLE_WEIGHT * broken(Math.min(freeCores, freeMemory), Math.min(cores, memory));
    if (free.freeAccelerators() == 0) {
      return cost;
    }
    if (size.accelerators() == 0) {
      return cost + ACCELERATOR_PENALTY;
    }
    int left = free.freeAccelerators() - size.accelerators();
    return cost + part(left, capacity.accelerators());
  }

  /** Sums up, over the sizes of holes, by what part of the worker such holes become fewer. */
  private static double broken(double before, double after) {
    double broken = 0;
    for (int divisor = 1; divisor <= SMALLEST_HOLE_DIVISOR; divisor *= 2) {
      broken += (double) (holes(before, divisor) - holes(after, divisor)) / divisor;
    }
    return broken;
  }

  private static int holes(double free, int divisor) {
    return (int) (free * divisor + ROUNDING);
  }

  private static double part(long amount, long whole) {
    return whole == 0 ? 0 : (double) amount / whole;
  }
}
