package org.masticspread.model.work;

import org.masticspread.model.id.WorkerId;

/**
 * One task of a job as callers see it.
 *
 * @param index the position in the job
 * @param phase the phase
 * @param attempt the number of the latest attempt, 0 before the first
 * @param worker where it runs or last ran; null before the first attempt
 * @param reason why it is in this phase, a short sentence
 */
public record TaskView(int index, TaskPhase phase, int attempt, WorkerId worker, String reason) {}
