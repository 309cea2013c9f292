package org.masticspread.cell.journal;

import java.util.Objects;
import org.masticspread.model.cell.JobOrder;

/**
 * The stored order of an accepted job. It is written once.
 *
 * @param order the order of the job
 * @param acceptedAtMillis when the job was accepted by the wall clock, in ms since 1970
 * @param epoch the epoch in which it was accepted
 */
public record JobRecord(JobOrder order, long acceptedAtMillis, long epoch) {
  /** Checks that no field is missing. */
  public JobRecord {
    Objects.requireNonNull(order, "order");
  }
}
