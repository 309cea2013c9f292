package org.masticspread.cell.log;

/**
 * Writes one structured line for each decision that touches a job and for each change of belief.
 * Implementations never block and never throw.
 *
 * <p>Example: {@code log.event("job-accepted", order.id(), "queue", order.queue(), "waiting", 3)}.
 */
@FunctionalInterface
public interface EventLog {
  /** Drops each line. */
  EventLog NONE = (event, id, facts) -> {};

  /**
   * Writes a line.
   *
   * @param event what happened, in the form {@code noun-verb}
   * @param id the id of the job, task, worker or VM that it is about
   * @param facts names and values in turn: what decided it, with ages or versions
   */
  void event(String event, String id, Object... facts);
}
