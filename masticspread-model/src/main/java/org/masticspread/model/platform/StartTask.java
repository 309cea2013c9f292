package org.masticspread.model.platform;

import java.time.Instant;
import org.masticspread.model.id.ShardId;
import org.masticspread.model.id.TaskKey;
import org.masticspread.model.resource.ResourceVector;
import org.masticspread.model.work.Payload;

/**
 * An order to a worker to start a task under a lease.
 *
 * @param task the task
 * @param attempt the number of the attempt, from 1
 * @param workShard the shard that holds the job
 * @param size the resources that the task may use
 * @param leaseUntil when its lease expires unless it is renewed
 * @param startBefore the latest instant at which the worker may start it
 * @param command the command to run
 */
public record StartTask(
    TaskKey task,
    int attempt,
    ShardId workShard,
    ResourceVector size,
    Instant leaseUntil,
    Instant startBefore,
    Payload command) {}
