package org.masticspread.ctl.command.watch;

import org.masticspread.ctl.client.ApiClient;
import org.masticspread.ctl.client.Explanation;
import org.masticspread.ctl.command.CtlCommand;
import org.masticspread.ctl.command.CtlContext;
import org.masticspread.ctl.command.ExitCode;
import org.masticspread.ctl.command.Flags;
import org.masticspread.ctl.command.JsonFlag;
import org.masticspread.ctl.command.NodeFlags;
import org.masticspread.ctl.output.Table;
import org.masticspread.model.id.JobId;
import org.masticspread.model.id.RequestId;
import org.masticspread.model.id.TeamId;
import org.masticspread.model.result.MasticspreadException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** Shows each decision about a job or a request with its reason. */
@Command(
    name = "explain",
    description = "Show why a job or a request waits, where it ran, and each decision.",
    subcommands = {ExplainCommand.Job.class, ExplainCommand.Request.class})
public final class ExplainCommand {

  /** Reads an explanation. */
  @FunctionalInterface
  private interface Read {
    Explanation of(ApiClient client, String[] names) throws MasticspreadException;
  }

  /** Shows the decisions about one subject. */
  private abstract static class Subject extends CtlCommand {
    private final Read read;

    @Mixin private NodeFlags node;
    @Mixin private JsonFlag json;

    @Parameters(paramLabel = "TEAM/ID", description = "The team and the id.")
    private String name;

    Subject(CtlContext context, Read read) {
      super(context);
      this.read = read;
    }

    @Override
    protected ExitCode run() throws MasticspreadException {
      String[] names = Flags.split("TEAM/ID", name);
      Explanation explanation = read.of(node.client(), names);
      json.print(context(), explanation, () -> print(explanation));
      return ExitCode.OK;
    }

    private void print(Explanation explanation) {
      context().out().println(explanation.subject());
      Table table = Table.of("AT", "VM", "DECISION", "REASON");
      explanation.lines().forEach(l -> table.row(l.at(), l.vm(), l.decision(), l.reason()));
      table.print(context().out());
    }
  }

  @Command(name = "job", description = "Show the decisions about a job.")
  static final class Job extends Subject {
    Job(CtlContext context) {
      super(context, (c, names) -> c.explainJob(TeamId.of(names[0]), JobId.of(names[1])));
    }
  }

  @Command(name = "request", description = "Show the decisions about a request.")
  static final class Request extends Subject {
    Request(CtlContext context) {
      super(context, (c, names) -> c.explainRequest(TeamId.of(names[0]), RequestId.of(names[1])));
    }
  }
}
