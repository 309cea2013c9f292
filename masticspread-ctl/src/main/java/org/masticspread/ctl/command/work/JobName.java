package org.masticspread.ctl.command.work;

import org.masticspread.ctl.command.Flags;
import org.masticspread.ctl.command.UsageException;
import org.masticspread.model.id.JobId;
import org.masticspread.model.id.JobKey;
import org.masticspread.model.id.TeamId;
import picocli.CommandLine.Parameters;

/** The parameter that names a job. */
final class JobName {
  @Parameters(paramLabel = "TEAM/JOB", description = "The team and the id of the job.")
  private String name;

  JobKey key() throws UsageException {
    String[] parts = Flags.splitName("TEAM/JOB", name);
    return new JobKey(TeamId.of(parts[0]), JobId.of(parts[1]));
  }
}
