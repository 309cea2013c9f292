package org.masticspread.model.work;

import java.time.Instant;
import java.util.List;

/**
 * A job as callers see it.
 *
 * @param spec the job as submitted
 * @param phase the phase
 * @param acceptedAt when it was durably accepted
 * @param tasks its tasks in order
 * @param reason the reason why it waits, is parked or has failed, as a short sentence
 */
public record JobView(
    JobSpec spec, JobPhase phase, Instant acceptedAt, List<TaskView> tasks, String reason) {

  /** Copies the list. */
  public JobView {
    tasks = List.copyOf(tasks);
  }
}
