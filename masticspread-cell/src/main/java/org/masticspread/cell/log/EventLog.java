package org.masticspread.cell.log;

/**
 * Writes one structured line for each decision that affects a job and each change in the known
 * state of VMs, workers and the store. Implementations never block and never throw.
 *
 * <p>Example: {@code log.event("job-accepted", order.id(), "queue", order.queue(), "waiting", 3)}.
 */
@FunctionalInterface
public interface EventLog {
  /** Discards all lines. */
  EventLog NONE = (event, id, facts) -> {};

  /**
   * Writes a line.
   *
   * @param event what happened, in the form {@code noun-verb}
   * @param id the id of the job, task, worker or VM that it is about
   * @param facts alternating names and values that led to the decision, with their ages or versions
   */
  void event(String event, String id, Object... facts);
}
