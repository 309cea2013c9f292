package org.masticspread.model.platform;

import java.time.Duration;
import org.masticspread.model.id.ShardId;
import org.masticspread.model.id.TaskKey;
import org.masticspread.model.resource.ResourceVector;

/**
 * The state of a task on a worker, including its measured usage, which may be out of date.
 *
 * @param task the task
 * @param attempt the number of the attempt
 * @param workShard the shard that holds the job
 * @param phase the phase
 * @param size the resources that it may use
 * @param usage the last measured usage
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
   * Returns the state of an attempt that has certainly ended with an unreported result.
   *
   * @param task the attempt
   * @param workShard the shard that holds the job
   * @return the state, with unknown usage
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
