package org.masticspread.ctl.client;

import java.time.Duration;
import java.time.Instant;
import org.masticspread.model.id.JobId;
import org.masticspread.model.id.TeamId;
import org.masticspread.model.id.WorkClassId;
import org.masticspread.model.resource.ResourceVector;
import org.masticspread.model.work.JobKind;

/**
 * A job to be accepted; a null field takes the node's default.
 *
 * @param team the team
 * @param job the id, the same in each repeat
 * @param workClass the work class within the team
 * @param kind batch, service or gang
 * @param tasks the number of tasks, at least 1
 * @param perTask the declared size of each task
 * @param declaredRunTime the declared run time of a task
 * @param deadline when it must be done
 * @param idempotent whether a task may run more than once
 * @param maxAttempts how often an idempotent task is tried
 * @param command what the workers run
 * @param acceptWithin the time within which it must be durably accepted
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
