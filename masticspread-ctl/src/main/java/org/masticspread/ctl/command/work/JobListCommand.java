package org.masticspread.ctl.command.work;

import org.masticspread.ctl.client.JobList;
import org.masticspread.ctl.command.CtlCommand;
import org.masticspread.ctl.command.CtlContext;
import org.masticspread.ctl.command.ExitCode;
import org.masticspread.ctl.command.Flags;
import org.masticspread.ctl.command.JsonFlag;
import org.masticspread.ctl.command.NodeFlags;
import org.masticspread.ctl.output.Table;
import org.masticspread.model.id.TeamId;
import org.masticspread.model.result.MasticspreadException;
import org.masticspread.model.work.JobSpec;
import org.masticspread.model.work.JobView;
import org.masticspread.model.work.TaskPhase;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

@Command(name = "list", description = "List jobs of a team.")
final class JobListCommand extends CtlCommand {
  private static final int MAX_LIMIT = 1000;

  @Mixin private NodeFlags node;
  @Mixin private JsonFlag json;

  @Option(names = "--team", required = true, paramLabel = "TEAM", description = "The team's name.")
  private TeamId team;

  @Option(
      names = "--limit",
      defaultValue = "100",
      paramLabel = "N",
      description = "The most jobs to list, from 1 to 1000; default 100.")
  private int limit;

  JobListCommand(CtlContext context) {
    super(context);
  }

  @Override
  protected ExitCode run() throws MasticspreadException {
    Flags.requireBetween("--limit", limit, 1, MAX_LIMIT);
    JobList list = node.client().jobs(team, limit);
    json.print(context(), list, () -> print(list));
    return ExitCode.OK;
  }

  private void print(JobList list) {
    Table table = Table.of("JOB", "CLASS", "KIND", "PHASE", "RUNNING", "DEADLINE", "REASON");
    for (JobView job : list.jobs()) {
      JobSpec spec = job.spec();
      table.row(
          spec.key(),
          spec.workClass(),
          spec.kind(),
          job.phase(),
          running(job) + "/" + spec.tasks(),
          spec.deadline(),
          job.reason());
    }
    table.print(context().out());
  }

  private static long running(JobView job) {
    return job.tasks().stream().filter(t -> t.phase() == TaskPhase.RUNNING).count();
  }
}
