package org.masticspread.ctl.command.work;

import org.masticspread.model.id.TeamId;
import org.masticspread.model.id.WorkClassId;
import picocli.CommandLine.Option;

/** The flags that name the team and the work class of a request or a job. */
final class ClassFlags {
  @Option(
      names = "--team",
      required = true,
      paramLabel = "TEAM",
      description = "The name of the team.")
  private TeamId team;

  @Option(
      names = "--work-class",
      required = true,
      paramLabel = "CLASS",
      description = "The name of the work class within the team.")
  private WorkClassId workClass;

  TeamId team() {
    return team;
  }

  WorkClassId workClass() {
    return workClass;
  }
}
