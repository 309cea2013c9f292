package org.masticspread.model.peer;

import org.masticspread.model.result.ResultCode;
import org.masticspread.model.work.JobView;

/**
 * The result of a call about one job.
 *
 * @param code the result code
 * @param job the job; null if there is none
 * @param detail a description, as a short sentence
 */
public record JobAnswered(ResultCode code, JobView job, String detail) implements PeerMessage {}
