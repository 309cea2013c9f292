package org.masticspread.model.cell;

import java.time.Duration;

/**
 * The advice rule of a queue whose tasks start only on workers that an advisor approves.
 *
 * @param decision the fixed duration of a call
 * @param perWorker the additional duration of a call for each worker
 * @param validity how long a ticket is valid
 */
public record AdviceRule(Duration decision, Duration perWorker, Duration validity) {
  /**
   * Returns the duration of a call to the advisor.
   *
   * @param workers the number of workers in the call
   * @return the duration
   */
  public Duration callTime(int workers) {
    return decision.plus(perWorker.multipliedBy(workers));
  }
}
