package org.masticspread.model.peer;

import org.masticspread.model.result.ResultCode;
import org.masticspread.model.work.JobView;

/**
 * The outcome of a call about one job.
 *
 * @param code what became of the call
 * @param job the job; null when there is none
 * @param detail a short sentence
 */
public record JobAnswered(ResultCode code, JobView job, String detail) implements PeerMessage {}
