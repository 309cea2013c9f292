package org.masticspread.model.peer;

import org.masticspread.model.id.WorkerId;
import org.masticspread.model.platform.TaskAttempt;

/**
 * What became of one task.
 *
 * @param task the attempt
 * @param outcome what became of it
 * @param worker where it runs; null unless started or unknown
 */
public record TaskPlaced(TaskAttempt task, PlaceOutcome outcome, WorkerId worker) {}
