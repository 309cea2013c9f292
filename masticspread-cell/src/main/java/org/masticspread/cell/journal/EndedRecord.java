package org.masticspread.cell.journal;

import java.util.Objects;
import org.masticspread.model.cell.JobState;

/**
 * The stored row of a job that has ended. It replaces the order and the progress of the job, so
 * that a new leader reads little, however many jobs have ended.
 *
 * @param state the final state of the job
 */
public record EndedRecord(JobState state) {
  /** Checks that no field is missing. */
  public EndedRecord {
    Objects.requireNonNull(state, "state");
  }
}
