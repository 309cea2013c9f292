package org.masticspread.platform.standin;

import java.time.Instant;
import org.masticspread.model.id.WorkerId;
import org.masticspread.model.platform.TaskAttempt;
import org.masticspread.model.platform.WorkerTaskPhase;

/**
 * One run of a task on a worker, as it really was.
 *
 * @param worker the worker
 * @param task the attempt
 * @param started when it started
 * @param ended when it ended; null while it runs
 * @param phase the phase
 */
public record TaskRun(
    WorkerId worker, TaskAttempt task, Instant started, Instant ended, WorkerTaskPhase phase) {}
