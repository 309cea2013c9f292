package org.masticspread.ctl.measure.placement;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.masticspread.model.resource.ResourceVector;
import org.masticspread.policy.placement.BestFit;
import org.masticspread.policy.placement.FreeCapacity;
import org.masticspread.policy.placement.PlacementStrategy;

/** The placement strategy of the scheduler and the baselines to compare it with. */
final class Strategies {
  /** The name of the strategy of the scheduler. */
  static final String MASTICSPREAD = "masticspread";

  /** The name of the baseline that chooses the first worker with room. */
  static final String FIRST_FIT = "first-fit";

  private static final double ACCELERATOR_PENALTY = 10.0;

  private Strategies() {}

  /** Returns the strategies by name, that of the scheduler first. */
  static Map<String, PlacementStrategy> all(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    Map<String, PlacementStrategy> all = new LinkedHashMap<>();
    all.put(MASTICSPREAD, new BestFit());
    all.put("best-fit-balanced", Strategies::balanced);
    all.put(FIRST_FIT, (free, size) -> 0);
    all.put("best-fit-memory", (free, size) -> free.freeMemoryBytes());
    all.put("worst-fit-memory", (free, size) -> -free.freeMemoryBytes());
    all.put("random", (free, size) -> random.nextDouble());
    return all;
  }

  /** Returns the cost by the formula that the scheduler used before it counted broken holes. */
  private static double balanced(FreeCapacity free, ResourceVector size) {
    ResourceVector capacity = free.capacity();
    double cores = ratio(free.freeMillicores() - size.millicores(), capacity.millicores());
    double memory = ratio(free.freeMemoryBytes() - size.memoryBytes(), capacity.memoryBytes());
    double cost = cores + memory + Math.abs(cores - memory);
    if (free.freeAccelerators() == 0) {
      return cost;
    }
    if (size.accelerators() == 0) {
      return cost + ACCELERATOR_PENALTY;
    }
    return cost + ratio(free.freeAccelerators() - size.accelerators(), capacity.accelerators());
  }

  private static double ratio(long amount, long whole) {
    return whole == 0 ? 0 : (double) amount / whole;
  }
}
