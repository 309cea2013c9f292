package org.masticspread.model.cell;

import java.util.List;

/**
 * A job as a caller handed it in.
 *
 * @param id the caller's id, unique
 * @param queue the queue
 * @param payload passed to each task unchanged
 * @param steps the steps, in order
 * @param recurrence when it runs
 */
public record JobOrder(
    String id, String queue, String payload, List<StepSpec> steps, Recurrence recurrence) {

  /** Copies the list. */
  public JobOrder {
    steps = List.copyOf(steps);
  }
}
