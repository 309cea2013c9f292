package org.masticspread.policy.placement;

import org.masticspread.model.resource.ResourceVector;

/**
 * A multi-resource best-fit strategy. Prefers the worker with the least free capacity after the
 * placement, keeps its free cores and memory in proportion to its capacity, avoids splitting large
 * holes while a small one suffices, and keeps accelerators for the work that needs them.
 */
public final class BestFit implements PlacementStrategy {
  private static final double IMBALANCE_WEIGHT = 2.0;
  private static final double LOST_HOLE_WEIGHT = 2.0;
  private static final double ACCELERATOR_PENALTY = 10.0;

  /** Hole sizes halve from a whole worker down to one worker divided by this number. */
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
    cost += LOST_HOLE_WEIGHT * lostHoles(Math.min(freeCores, freeMemory), Math.min(cores, memory));
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
  private static double lostHoles(double before, double after) {
    double lostHoles = 0;
    for (int divisor = 1; divisor <= SMALLEST_HOLE_DIVISOR; divisor *= 2) {
      lostHoles += (double) (holes(before, divisor) - holes(after, divisor)) / divisor;
    }
    return lostHoles;
  }

  private static int holes(double free, int divisor) {
    return (int) (free * divisor + ROUNDING_TOLERANCE);
  }

  private static double fraction(long amount, long whole) {
    return whole == 0 ? 0 : (double) amount / whole;
  }
}
