package org.masticspread.model.platform;

import java.time.Duration;
import org.masticspread.model.id.ShardId;
import org.masticspread.model.id.TaskKey;
import org.masticspread.model.resource.ResourceVector;

/**
 * A task on a worker, with its measured usage, which lags.
 *
 * @param task the task
 * @param attempt the number of the attempt
 * @param workShard the shard that holds the job
 * @param phase the phase
 * @param size what it may use
 * @param usage what it was last seen to use
 * @param ranFor how long it has run
 * @param throttled whether it is throttled
 * @param checkpointed whether it was checkpointed before it stopped
 */
public record WorkerTask(
    TaskKey task,
    int attempt,
    ShardId workShard,
    WorkerTaskPhase phase,
    ResourceVector size,
    ResourceVector usage,
    Duration ranFor,
    boolean throttled,
    boolean checkpointed) {
  /**
   * Returns an attempt that certainly runs no more, and whose worker did not tell how it ended.
   *
   * @param task the attempt
   * @param workShard the shard that holds the job
   * @return the task, with nothing known of its usage
   */
  public static WorkerTask lapsed(TaskAttempt task, ShardId workShard) {
    return new WorkerTask(
        task.task(),
        task.attempt(),
        workShard,
        WorkerTaskPhase.LAPSED,
        ResourceVector.ZERO,
        ResourceVector.ZERO,
        Duration.ZERO,
        false,
        false);
  }
}
