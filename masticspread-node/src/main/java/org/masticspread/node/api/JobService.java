package org.masticspread.node.api;

import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletionStage;
import org.masticspread.model.id.JobKey;
import org.masticspread.model.id.TeamId;
import org.masticspread.model.peer.JobAnswered;
import org.masticspread.model.work.JobSpec;
import org.masticspread.model.work.JobView;

/** Accepts, reads and cancels jobs. No stage fails; errors are reported by the result code. */
public interface JobService {
  /**
   * Accepts a job durably.
   *
   * @param job the job
   * @param acceptBy the deadline for the store to accept the change
   * @return the outcome
   */
  CompletionStage<JobAnswered> submit(JobSpec job, Instant acceptBy);

  /**
   * Reads a job.
   *
   * @param job the job
   * @return the job
   */
  CompletionStage<JobAnswered> read(JobKey job);

  /**
   * Cancels a job.
   *
   * @param job the job
   * @param acceptBy the deadline for the store to accept the change
   * @return the outcome
   */
  CompletionStage<JobAnswered> cancel(JobKey job, Instant acceptBy);

  /**
   * Lists the jobs of all VMs that answer.
   *
   * @param team the team, or null for all
   * @param limit the maximum number of jobs to return
   * @return the jobs
   */
  CompletionStage<List<JobView>> list(TeamId team, int limit);
}
