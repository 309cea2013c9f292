package org.masticspread.ctl.measure.request;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.IntUnaryOperator;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** The policies that measures compare, by name. */
final class RequestPolicies {
  static final String MASTICSPREAD = "masticspread";

  private RequestPolicies() {}

  /** Creates a policy in its first state. */
  @FunctionalInterface
  interface Factory {
    RequestPolicy create(Deployment deployment, long seed);
  }

  static Map<String, Factory> forFloods() {
    Map<String, Factory> factories = new LinkedHashMap<>();
    factories.put(MASTICSPREAD, ScheduledPolicy::new);
    factories.put("fifo", (d, seed) -> CentralQueuePolicy.fifo(d, inTurn()));
    factories.put("strict-priority", (d, seed) -> CentralQueuePolicy.strictPriority(d, inTurn()));
    factories.put("round-robin", (d, seed) -> CentralQueuePolicy.teamsInTurn(d, inTurn()));
    return factories;
  }

  static Map<String, Factory> forWaits() {
    Map<String, Factory> factories = new LinkedHashMap<>();
    factories.put(MASTICSPREAD, ScheduledPolicy::new);
    factories.put("random", (d, seed) -> new ExecutorQueuePolicy(d, atRandom(seed)));
    factories.put("round-robin", (d, seed) -> new ExecutorQueuePolicy(d, inTurn()));
    factories.put("fifo", (d, seed) -> CentralQueuePolicy.fifo(d, inTurn()));
    factories.put("random-free", (d, seed) -> CentralQueuePolicy.fifo(d, atRandom(seed)));
    factories.put("strict-priority", (d, seed) -> CentralQueuePolicy.strictPriority(d, inTurn()));
    return factories;
  }

  private static IntUnaryOperator inTurn() {
    int[] last = {0};
    return bound -> last[0] = (last[0] + 1) % bound;
  }

  private static IntUnaryOperator atRandom(long seed) {
    UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(seed);
    return random::nextInt;
  }
}
