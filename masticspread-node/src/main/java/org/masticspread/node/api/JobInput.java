package org.masticspread.node.api;

import java.time.Duration;
import java.time.Instant;
import org.masticspread.model.resource.ResourceVector;
import org.masticspread.model.work.JobKind;

/**
 * The body of a call that submits a job.
 *
 * @param team the team
 * @param job the id; null to have one made up
 * @param workClass the work class
 * @param kind batch, service or gang
 * @param tasks the number of tasks
 * @param perTask the size of each task
 * @param declaredRunTime the run time of a task; null when not told
 * @param deadline when the job must be done; null when it may take any time
 * @param idempotent whether a task may run more than once; null for that of the work class
 * @param maxAttempts how often a task is tried; null for the default
 * @param command what the workers run; null for nothing
 * @param acceptWithin how long the store may take to accept; null for the default
 */
record JobInput(
    String team,
    String job,
    String workClass,
    JobKind kind,
    Integer tasks,
    ResourceVector perTask,
    Duration declaredRunTime,
    Instant deadline,
    Boolean idempotent,
    Integer maxAttempts,
    String command,
    Duration acceptWithin) {}
