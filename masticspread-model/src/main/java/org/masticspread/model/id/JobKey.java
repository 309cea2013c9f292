package org.masticspread.model.id;

/**
 * Identifies a job by its team and id.
 *
 * @param team the team
 * @param job the job
 */
public record JobKey(TeamId team, JobId job) {

  @Override
  public String toString() {
    return team + "/" + job;
  }
}
