package org.masticspread.ctl.client;

import java.time.Duration;
import java.time.Instant;
import org.masticspread.model.id.JobId;
import org.masticspread.model.id.TeamId;
import org.masticspread.model.id.WorkClassId;
import org.masticspread.model.resource.ResourceVector;
import org.masticspread.model.work.JobKind;

/**
 * A job to submit; for a null field, the node uses its default.
 *
 * @param team the team
 * @param job the job id, the same on each retry
 * @param workClass the work class within the team
 * @param kind batch, service or gang
 * @param tasks the number of tasks, at least 1
 * @param perTask the declared size of each task
 * @param declaredRunTime the declared run time of a task
 * @param deadline the time by which the job must be done
 * @param idempotent whether a task may run more than once
 * @param maxAttempts the maximum number of attempts of an idempotent task
 * @param command the command that the workers run
 * @param acceptWithin the timeout for durably accepting the job
 */
public record JobInput(
    TeamId team,
    JobId job,
    WorkClassId workClass,
    JobKind kind,
    int tasks,
    ResourceVector perTask,
    Duration declaredRunTime,
    Instant deadline,
    Boolean idempotent,
    Integer maxAttempts,
    String command,
    Duration acceptWithin) {}
