package org.masticspread.model.peer;

import org.masticspread.model.id.WorkerId;
import org.masticspread.model.platform.TaskAttempt;

/**
 * The outcome of placing one task.
 *
 * @param task the attempt
 * @param outcome the outcome
 * @param worker the worker; null unless the outcome is STARTED or UNKNOWN
 */
public record TaskPlaced(TaskAttempt task, PlaceOutcome outcome, WorkerId worker) {}
