package org.masticspread.model.peer;

import org.masticspread.model.id.ShardId;
import org.masticspread.model.id.WorkerId;
import org.masticspread.model.platform.TaskAttempt;

/**
 * A task that runs or may be running on a rack.
 *
 * @param task the attempt
 * @param workShard the shard that holds the job
 * @param worker the worker
 * @param certain whether the worker has confirmed that it runs
 */
public record RunningTask(TaskAttempt task, ShardId workShard, WorkerId worker, boolean certain) {}
