package org.masticspread.model.cell;

import java.util.List;

/**
 * A job as submitted by its caller.
 *
 * @param id the unique id, chosen by the caller
 * @param queue the queue
 * @param payload the payload, passed unchanged to each task
 * @param steps the steps, in order
 * @param recurrence the schedule
 */
public record JobOrder(
    String id, String queue, String payload, List<StepSpec> steps, Recurrence recurrence) {

  /** Copies the list. */
  public JobOrder {
    steps = List.copyOf(steps);
  }
}
