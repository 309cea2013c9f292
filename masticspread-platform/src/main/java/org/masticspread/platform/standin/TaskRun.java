package org.masticspread.platform.standin;

import java.time.Instant;
import org.masticspread.model.id.WorkerId;
import org.masticspread.model.platform.TaskAttempt;
import org.masticspread.model.platform.WorkerTaskPhase;

/**
 * A run of a task that actually started on a worker.
 *
 * @param worker the worker
 * @param task the attempt
 * @param started the start time
 * @param ended the end time; null while the task runs
 * @param phase the phase
 */
public record TaskRun(
    WorkerId worker, TaskAttempt task, Instant started, Instant ended, WorkerTaskPhase phase) {}
