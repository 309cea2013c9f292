package org.masticspread.node.api;

import java.time.Duration;
import java.time.Instant;
import org.masticspread.model.resource.ResourceVector;
import org.masticspread.model.work.JobKind;

/**
 * Body of a call that submits a job.
 *
 * @param team the team
 * @param job the id; null to generate one
 * @param workClass the work class
 * @param kind batch, service or gang
 * @param tasks the number of tasks
 * @param perTask the size of each task
 * @param declaredRunTime the run time of a task; null if not given
 * @param deadline when the job must be done; null for no deadline
 * @param idempotent whether a task may run more than once; null for that of the work class
 * @param maxAttempts the maximum number of attempts per task; null for the default
 * @param command the command that the workers run; null for none
 * @param acceptWithin the timeout for the store to accept the job; null for the default
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
