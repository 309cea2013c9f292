package org.masticspread.cell.journal;

import java.util.List;
import java.util.Objects;
import org.masticspread.model.cell.JobState;
import org.masticspread.model.resource.ResourceVector;

/**
 * The stored row of a job that has ended. It replaces the order and the progress of the job, so
 * that a new leader reads little, however many jobs have ended.
 *
 * @param state the final state of the job
 * @param teamRuns what counts against the cap of its team; at most one entry, none without a team
 */
public record EndedRecord(JobState state, List<TeamRuns> teamRuns) {
  /**
   * Checks that the state is not missing, and copies the list. Rows that were stored before teams
   * existed have none.
   */
  public EndedRecord {
    Objects.requireNonNull(state, "state");
    teamRuns = teamRuns == null ? List.of() : List.copyOf(teamRuns);
  }

  /** Creates the record of a job without team. */
  public EndedRecord(JobState state) {
    this(state, List.of());
  }

  /**
   * Returns the team of the job.
   *
   * @return the name; empty for none
   */
  public String team() {
    return teamRuns.isEmpty() ? "" : teamRuns.get(0).team();
  }

  /**
   * The runs of an ended job that may not be over.
   *
   * @param team the name of the team
   * @param largestTask the largest demand of a task, for each resource
   * @param mayRun the demand of all runs that may not have been over when the job ended, without
   *     tasks that only fill idle processors
   * @param mayFill the same for tasks that only fill idle processors
   */
  public record TeamRuns(
      String team, ResourceVector largestTask, ResourceVector mayRun, ResourceVector mayFill) {
    /** Checks that no field is missing. */
    public TeamRuns {
      Objects.requireNonNull(team, "team");
      Objects.requireNonNull(largestTask, "largestTask");
      Objects.requireNonNull(mayRun, "mayRun");
      Objects.requireNonNull(mayFill, "mayFill");
    }
  }
}
