package org.masticspread.policy.placement;

import org.masticspread.model.resource.ResourceVector;

/**
 * A multi-resource best-fit strategy. Prefers the worker with the least free capacity after the
 * placement, keeps its free cores and memory in proportion to its capacity, avoids splitting large
 * holes while a small one suffices, and keeps accelerators for the work that needs them.
 */
public final class BestFit implements PlacementStrategy {
  private static final double IMBALANCE_WEIGHT = 2.0;
  private static final double BROKEN_HOLE_WEIGHT = 2.0;
  private static final double ACCELERATOR_PENALTY = 10.0;

  /**
   * The smallest hole size is this fraction of a worker; each larger size is twice the previous.
   */
  private static final int SMALLEST_HOLE_DIVISOR = 16;

  private static final double ROUNDING_TOLERANCE = 1e-9;

  @Override
  public double cost(FreeCapacity free, ResourceVector size) {
    ResourceVector capacity = free.capacity();
    double freeCores = fraction(free.freeMillicores(), capacity.millicores());
    double freeMemory = fraction(free.freeMemoryBytes(), capacity.memoryBytes());
    double cores = freeCores - fraction(size.millicores(), capacity.millicores());
    double memory = freeMemory - fraction(size.memoryBytes(), capacity.memoryBytes());
    double cost = cores + memory + IMBALANCE_WEIGHT * Math.abs(cores - memory);
    cost += BROKEN_HOLE_WEIGHT * broken(Math.min(freeCores, freeMemory), Math.min(cores, memory));
    if (free.freeAccelerators() == 0) {
      return cost;
    }
    if (size.accelerators() == 0) {
      return cost + ACCELERATOR_PENALTY;
    }
    int left = free.freeAccelerators() - size.accelerators();
    return cost + fraction(left, capacity.accelerators());
  }

  /** Returns the loss of holes of all sizes, weighted by their size as a fraction of the worker. */
  private static double broken(double before, double after) {
    double broken = 0;
    for (int divisor = 1; divisor <= SMALLEST_HOLE_DIVISOR; divisor *= 2) {
      broken += (double) (holes(before, divisor) - holes(after, divisor)) / divisor;
    }
    return broken;
  }

  private static int holes(double free, int divisor) {
    return (int) (free * divisor + ROUNDING_TOLERANCE);
  }

  private static double fraction(long amount, long whole) {
    return whole == 0 ? 0 : (double) amount / whole;
  }
}
