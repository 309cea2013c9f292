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
 * @param team the name of the team that submitted it; empty for none
 */
public record JobOrder(
    String id,
    String queue,
    String payload,
    List<StepSpec> steps,
    Recurrence recurrence,
    String team) {

  /** Copies the list. Jobs that were stored before teams existed have none. */
  public JobOrder {
    steps = List.copyOf(steps);
    team = team == null ? "" : team;
  }

  /** Creates a job of no team. */
  public JobOrder(
      String id, String queue, String payload, List<StepSpec> steps, Recurrence recurrence) {
    this(id, queue, payload, steps, recurrence, "");
  }
}
