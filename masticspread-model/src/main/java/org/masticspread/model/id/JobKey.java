package org.masticspread.model.id;

/**
 * Names a job together with its team.
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
