package org.masticspread.policy.jobs;

import java.util.Map;
import org.masticspread.model.resource.ResourceVector;
import org.masticspread.model.work.JobSpec;

/**
 * A gang that was selected to start. Its tasks are started by a {@code GangPlanner}.
 *
 * @param job the gang
 * @param attempts the attempt number of each task, by its position in the job
 * @param size the estimated size of each task
 */
public record GangStart(JobSpec job, Map<Integer, Integer> attempts, ResourceVector size) {

  /** Copies the map. */
  public GangStart {
    attempts = Map.copyOf(attempts);
  }
}
