package org.masticspread.model.peer;

import java.time.Instant;
import org.masticspread.model.id.ClassKey;
import org.masticspread.model.id.ShardId;
import org.masticspread.model.id.TaskKey;
import org.masticspread.model.resource.ResourceVector;
import org.masticspread.model.work.JobKind;
import org.masticspread.model.work.Payload;
import org.masticspread.model.work.Urgency;

/**
 * A task to place on a worker of a rack.
 *
 * @param task the task
 * @param attempt the number of the attempt, from 1
 * @param workShard the shard that holds the job
 * @param classKey the team and the work class, for fair sharing
 * @param urgency how soon it must start
 * @param kind the kind of job
 * @param size the estimated size
 * @param startBefore the latest instant at which it may start
 * @param command the command to run
 */
public record PlaceTask(
    TaskKey task,
    int attempt,
    ShardId workShard,
    ClassKey classKey,
    Urgency urgency,
    JobKind kind,
    ResourceVector size,
    Instant startBefore,
    Payload command) {}
