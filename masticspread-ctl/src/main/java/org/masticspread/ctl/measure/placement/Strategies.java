package org.masticspread.ctl.measure.placement;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.masticspread.policy.placement.BestFit;
import org.masticspread.policy.placement.PlacementStrategy;

/** The placement strategy in use and the baselines beside it. */
final class Strategies {
  /** The name of the strategy in use. */
  static final String OURS = "masticspread";

  /** The name of the baseline that takes the first worker with room. */
  static final String FIRST_FIT = "first-fit";

  private Strategies() {}

  /** Returns the strategies by name, ours first. */
  static Map<String, PlacementStrategy> all(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    Map<String, PlacementStrategy> all = new LinkedHashMap<>();
    all.put(OURS, new BestFit());
    all.put(FIRST_FIT, (hole, size) -> 0);
    all.put("best-fit-memory", (hole, size) -> hole.freeMemoryBytes());
    all.put("worst-fit-memory", (hole, size) -> -hole.freeMemoryBytes());
    all.put("random", (hole, size) -> random.nextDouble());
    return all;
  }
}
