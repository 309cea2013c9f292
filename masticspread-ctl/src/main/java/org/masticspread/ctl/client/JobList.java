package org.masticspread.ctl.client;

import java.util.List;
import org.masticspread.model.work.JobView;

/**
 * A list of jobs of a team.
 *
 * @param jobs the jobs
 */
public record JobList(List<JobView> jobs) {

  /** Copies the list; a missing list counts as empty. */
  public JobList {
    jobs = jobs == null ? List.of() : List.copyOf(jobs);
  }
}
