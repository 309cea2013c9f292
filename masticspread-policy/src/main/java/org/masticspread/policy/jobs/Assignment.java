package org.masticspread.policy.jobs;

import java.time.Instant;
import org.masticspread.model.id.RackId;
import org.masticspread.model.id.ShardId;
import org.masticspread.model.id.TaskKey;
import org.masticspread.model.peer.PlaceTask;
import org.masticspread.model.resource.ResourceVector;
import org.masticspread.model.work.JobSpec;

/**
 * A waiting task that was assigned to a rack.
 *
 * @param job the job
 * @param index the position of the task in the job, from 0
 * @param attempt the number of the attempt, from 1
 * @param size the estimated size
 * @param rack the rack
 */
public record Assignment(JobSpec job, int index, int attempt, ResourceVector size, RackId rack) {

  /**
   * Returns the key of the task.
   *
   * @return job and position
   */
  public TaskKey task() {
    return new TaskKey(job.key(), index);
  }

  /**
   * Converts this assignment to the request that asks the rack owner to start the task.
   *
   * @param workShard the shard that holds the job
   * @param startBefore the latest instant at which it may start
   * @return the task to place
   */
  public PlaceTask toPlaceTask(ShardId workShard, Instant startBefore) {
    return new PlaceTask(
        task(),
        attempt,
        workShard,
        job.classKey(),
        job.urgency(),
        job.kind(),
        size,
        startBefore,
        job.command());
  }
}
