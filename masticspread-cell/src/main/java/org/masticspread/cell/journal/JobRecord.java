package org.masticspread.cell.journal;

import org.masticspread.model.cell.JobOrder;

/**
 * The durable order of an accepted job. Written once.
 *
 * @param order the job
 * @param acceptedAtMillis the time of day of its acceptance, in ms since 1970
 * @param epoch the epoch in which it was accepted
 */
public record JobRecord(JobOrder order, long acceptedAtMillis, long epoch) {}
