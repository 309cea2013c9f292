package org.masticspread.model.peer;

import java.util.List;
import org.masticspread.model.work.JobView;

/**
 * Jobs at one VM.
 *
 * @param jobs the jobs
 */
public record JobsListed(List<JobView> jobs) implements PeerMessage {

  /** Copies the lists. */
  public JobsListed {
    jobs = List.copyOf(jobs);
  }
}
