package org.masticspread.ctl.measure.request;

import java.util.Arrays;
import org.masticspread.model.config.EndpointConfig;

/** The occupied slots of the executors; exceeding the limit of an executor is an error. */
final class Slots {
  private final int[] taken;
  private final int[] limits;
  private int free;

  Slots(Deployment deployment) {
    limits =
        deployment.configuration().endpoints().stream().mapToInt(EndpointConfig::slots).toArray();
    taken = new int[limits.length];
    free = Arrays.stream(limits).sum();
  }

  int executors() {
    return limits.length;
  }

  int free() {
    return free;
  }

  boolean isFree(int executor) {
    return taken[executor] < limits[executor];
  }

  /** Returns the first executor with a free slot, starting at an index; there must be one. */
  int firstFree(int place) {
    int executor = place;
    while (!isFree(executor)) {
      executor = (executor + 1) % limits.length;
    }
    return executor;
  }

  void take(int executor) {
    if (!isFree(executor)) {
      throw new IllegalStateException("measure: executor " + executor + " has no free slot");
    }
    taken[executor]++;
    free--;
  }

  void release(int executor) {
    taken[executor]--;
    free++;
  }
}
