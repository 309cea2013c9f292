package org.masticspread.model.cell;

import java.time.Duration;

/**
 * A queue whose tasks start only on workers that an advisor approves.
 *
 * @param decision the time that one call takes
 * @param perWorker the further time for each worker named
 * @param validity how long a ticket holds
 */
public record AdviceRule(Duration decision, Duration perWorker, Duration validity) {
  /**
   * Returns how long a call takes at the advisor.
   *
   * @param workers how many workers are named
   * @return the time
   */
  public Duration callTime(int workers) {
    return decision.plus(perWorker.multipliedBy(workers));
  }
}
