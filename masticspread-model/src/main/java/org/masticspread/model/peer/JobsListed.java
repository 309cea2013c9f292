package org.masticspread.model.peer;

import java.util.List;
import org.masticspread.model.work.JobView;

/**
 * Answers {@link ListJobs}.
 *
 * @param jobs the jobs
 */
public record JobsListed(List<JobView> jobs) implements PeerMessage {

  /** Copies the list. */
  public JobsListed {
    jobs = List.copyOf(jobs);
  }
}
