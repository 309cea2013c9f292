package org.masticspread.ctl.measure.request;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.IntUnaryOperator;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** The policies that the measures compare, by name. */
final class RequestPolicies {
  static final String MASTICSPREAD = "masticspread";

  private RequestPolicies() {}

  /** A factory of policies in their initial state. */
  @FunctionalInterface
  interface Factory {
    RequestPolicy create(Deployment deployment, long seed);
  }

  static Map<String, Factory> forFloodMeasure() {
    Map<String, Factory> factories = new LinkedHashMap<>();
    factories.put(MASTICSPREAD, ScheduledPolicy::new);
    factories.put("fifo", (d, seed) -> CentralQueuePolicy.fifo(d, roundRobin()));
    factories.put(
        "strict-priority", (d, seed) -> CentralQueuePolicy.strictPriority(d, roundRobin()));
    factories.put("round-robin", (d, seed) -> CentralQueuePolicy.roundRobinByTeam(d, roundRobin()));
    return factories;
  }

  static Map<String, Factory> forWaitMeasure() {
    Map<String, Factory> factories = new LinkedHashMap<>();
    factories.put(MASTICSPREAD, ScheduledPolicy::new);
    factories.put("random", (d, seed) -> new ExecutorQueuePolicy(d, random(seed)));
    factories.put("round-robin", (d, seed) -> new ExecutorQueuePolicy(d, roundRobin()));
    factories.put("fifo", (d, seed) -> CentralQueuePolicy.fifo(d, roundRobin()));
    factories.put("random-free", (d, seed) -> CentralQueuePolicy.fifo(d, random(seed)));
    factories.put(
        "strict-priority", (d, seed) -> CentralQueuePolicy.strictPriority(d, roundRobin()));
    return factories;
  }

  private static IntUnaryOperator roundRobin() {
    int[] last = {0};
    return bound -> last[0] = (last[0] + 1) % bound;
  }

  private static IntUnaryOperator random(long seed) {
    UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(seed);
    return random::nextInt;
  }
}
