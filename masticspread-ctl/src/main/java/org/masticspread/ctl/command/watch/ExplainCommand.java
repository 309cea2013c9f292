package org.masticspread.ctl.command.watch;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.masticspread.ctl.client.ApiClient;
import org.masticspread.ctl.client.Explanation;
import org.masticspread.ctl.command.CtlCommand;
import org.masticspread.ctl.command.CtlContext;
import org.masticspread.ctl.command.ExitCode;
import org.masticspread.ctl.command.Flags;
import org.masticspread.ctl.command.JsonFlag;
import org.masticspread.ctl.command.NodeFlags;
import org.masticspread.ctl.logs.JobTimeline;
import org.masticspread.ctl.logs.LogLine;
import org.masticspread.ctl.output.Table;
import org.masticspread.model.id.JobId;
import org.masticspread.model.id.RequestId;
import org.masticspread.model.id.TeamId;
import org.masticspread.model.result.InvalidFieldException;
import org.masticspread.model.result.MasticspreadException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** Shows each decision about a job or a request with its reason. */
@Command(
    name = "explain",
    description = "Show why a job or a request waits, where it ran, and each decision.",
    subcommands = {
      ExplainCommand.Job.class,
      ExplainCommand.Request.class,
      ExplainCommand.Logs.class
    })
public final class ExplainCommand {

  /** Reads the explanation of a job or a request. */
  @FunctionalInterface
  private interface ExplanationReader {
    Explanation read(ApiClient client, String[] names) throws MasticspreadException;
  }

  /** The base class of the commands that show the decisions about one job or request. */
  private abstract static class SubjectCommand extends CtlCommand {
    private final ExplanationReader reader;

    @Mixin private NodeFlags node;
    @Mixin private JsonFlag json;

    @Parameters(paramLabel = "TEAM/ID", description = "The team and the id.")
    private String name;

    SubjectCommand(CtlContext context, ExplanationReader reader) {
      super(context);
      this.reader = reader;
    }

    @Override
    protected ExitCode run() throws MasticspreadException {
      String[] names = Flags.splitName("TEAM/ID", name);
      Explanation explanation = reader.read(node.client(), names);
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
  static final class Job extends SubjectCommand {
    Job(CtlContext context) {
      super(context, (c, names) -> c.explainJob(TeamId.of(names[0]), JobId.of(names[1])));
    }
  }

  @Command(name = "request", description = "Show the decisions about a request.")
  static final class Request extends SubjectCommand {
    Request(CtlContext context) {
      super(context, (c, names) -> c.explainRequest(TeamId.of(names[0]), RequestId.of(names[1])));
    }
  }

  @Command(
      name = "logs",
      description = "Tell the story of a job from the log files of the VMs, with its cause last.")
  static final class Logs extends CtlCommand {
    @Parameters(index = "0", paramLabel = "ID", description = "The job's id.")
    private String id;

    @Parameters(
        index = "1..*",
        arity = "1..*",
        paramLabel = "FILE",
        description = "What the VMs wrote to their standard output.")
    private List<Path> files;

    Logs(CtlContext context) {
      super(context);
    }

    @Override
    protected ExitCode run() throws MasticspreadException {
      List<LogLine> lines = new ArrayList<>();
      for (Path file : files) {
        try (Stream<String> text = Files.lines(file, StandardCharsets.UTF_8)) {
          text.map(LogLine::read).flatMap(Optional::stream).forEach(lines::add);
        } catch (IOException | UncheckedIOException e) {
          throw new InvalidFieldException("FILE", file.toString(), "a readable file of log lines");
        }
      }
      JobTimeline timeline = JobTimeline.of(id, lines);
      Table table = Table.of("AT", "VM", "EVENT", "ABOUT", "FACTS");
      timeline
          .lines()
          .forEach(l -> table.row(l.at(), l.vm(), l.event(), l.id(), new TreeMap<>(l.facts())));
      table.print(context().out());
      context().out().println("cause: " + timeline.cause());
      return ExitCode.OK;
    }
  }
}
