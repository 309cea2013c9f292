package org.masticspread.policy.jobs;

import java.util.Map;
import org.masticspread.model.resource.ResourceVector;
import org.masticspread.model.work.JobSpec;

/**
 * A gang whose turn it is; its tasks start through a {@code GangPlanner}.
 *
 * @param job the gang
 * @param attempts the number of the attempt of each task, by position
 * @param size the estimated size of each task
 */
public record GangStart(JobSpec job, Map<Integer, Integer> attempts, ResourceVector size) {

  /** Copies the map. */
  public GangStart {
    attempts = Map.copyOf(attempts);
  }
}
