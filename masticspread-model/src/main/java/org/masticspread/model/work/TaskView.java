package org.masticspread.model.work;

import org.masticspread.model.id.WorkerId;

/**
 * One task of a job as callers see it.
 *
 * @param index the position in the job, from 0
 * @param phase the phase
 * @param attempt the number of the latest attempt; 0 before the first
 * @param worker the worker of the latest attempt; null before the first attempt
 * @param reason the reason for its phase, as a short sentence
 */
public record TaskView(int index, TaskPhase phase, int attempt, WorkerId worker, String reason) {}
