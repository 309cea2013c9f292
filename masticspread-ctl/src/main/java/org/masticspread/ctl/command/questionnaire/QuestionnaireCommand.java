package org.masticspread.ctl.command.questionnaire;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.masticspread.ctl.client.ApiClient;
import org.masticspread.ctl.client.ConfigChange;
import org.masticspread.ctl.client.Problems;
import org.masticspread.ctl.command.CtlCommand;
import org.masticspread.ctl.command.CtlContext;
import org.masticspread.ctl.command.ExitCode;
import org.masticspread.ctl.command.Flags;
import org.masticspread.ctl.command.JsonFlag;
import org.masticspread.ctl.command.NodeFlags;
import org.masticspread.ctl.command.UsageException;
import org.masticspread.ctl.command.config.ProblemPrinter;
import org.masticspread.ctl.config.ConfigFile;
import org.masticspread.ctl.output.Output;
import org.masticspread.ctl.questionnaire.Answers;
import org.masticspread.ctl.questionnaire.AnswersFile;
import org.masticspread.ctl.questionnaire.AnswersRecorder;
import org.masticspread.ctl.questionnaire.ConfigGenerator;
import org.masticspread.ctl.questionnaire.GeneratedConfig;
import org.masticspread.ctl.questionnaire.Interview;
import org.masticspread.ctl.questionnaire.Network;
import org.masticspread.ctl.questionnaire.Question;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.config.PoolConfig;
import org.masticspread.model.id.PoolId;
import org.masticspread.model.result.MasticspreadException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Asks a team about its work, then generates, shows and optionally applies its configuration. */
@Command(
    name = "questionnaire",
    description = {
      "Ask about the work of a team, one question at a time, and generate its configuration.",
      "The configuration goes to the output as YAML; its meaning and conflicts to the errors."
    })
public final class QuestionnaireCommand extends CtlCommand {
  private static final Duration MAX_LATENCY = Duration.ofSeconds(10);

  @Mixin private NodeFlags node;
  @Mixin private JsonFlag json;

  @Option(
      names = "--answers",
      paramLabel = "FILE",
      description = "Take the answers out of this YAML file in place of asking.")
  private Path answersFile;

  @Option(
      names = "--save-answers",
      paramLabel = "FILE",
      description = "Write the answers to this YAML file, also when the input ends early.")
  private Path savedAnswers;

  @Option(
      names = "--out",
      paramLabel = "FILE",
      description = "Write the configuration to this YAML file, fit for 'config apply --merge'.")
  private Path out;

  @Option(
      names = "--cell",
      paramLabel = "FILE",
      description = "Take the cell out of this YAML file in place of asking a node.")
  private Path cellFile;

  @Option(
      names = "--between-data-centres",
      defaultValue = "PT0.0015S",
      paramLabel = "TIME",
      description = "The latency between data centres, one way; default 1.5 ms.")
  private Duration betweenDataCentres;

  @Option(
      names = "--to-clients",
      defaultValue = "3ms",
      paramLabel = "TIME",
      description = "The latency to callers, one way; default 3ms.")
  private Duration toClients;

  @Option(names = "--apply", description = "Apply the configuration when nothing conflicts.")
  private boolean apply;

  @Option(names = "--yes", description = "Apply without asking.")
  private boolean yes;

  QuestionnaireCommand(CtlContext context) {
    super(context);
  }

  @Override
  protected ExitCode run() throws MasticspreadException {
    Flags.requireBetween("--between-data-centres", betweenDataCentres, Duration.ZERO, MAX_LATENCY);
    Flags.requireBetween("--to-clients", toClients, Duration.ZERO, MAX_LATENCY);
    if (apply && cellFile != null) {
      throw new UsageException("--apply", "true", "only without --cell");
    }
    ApiClient client = node.client();
    Configuration cell =
        cellFile == null ? client.configuration() : ConfigFile.read(cellFile).configuration();
    Answers answers = answers(cell);
    Network network = new Network(betweenDataCentres, toClients);
    GeneratedConfig generated = new ConfigGenerator(cell, network).generate(answers);
    show(generated);
    if (!generated.conflicts().isEmpty()) {
      return ExitCode.INVALID;
    }
    return apply ? apply(client, cell, generated, answers) : ExitCode.OK;
  }

  private Answers answers(Configuration cell) throws MasticspreadException {
    Set<PoolId> pools =
        cell.pools().stream()
            .filter(p -> !p.retired())
            .map(PoolConfig::name)
            .collect(Collectors.toSet());
    if (answersFile != null) {
      AnswersFile source = AnswersFile.of(ConfigFile.bytes(answersFile));
      Answers answers = new Interview(source, pools).answers();
      source.requireAllAsked();
      return answers;
    }
    AnswersRecorder recorder = new AnswersRecorder(new ConsoleSource(context()));
    try {
      return new Interview(recorder, pools).answers();
    } finally {
      write("--save-answers", savedAnswers, Output.yaml(recorder.answers()));
    }
  }

  private void show(GeneratedConfig generated) throws UsageException {
    generated.sentences().forEach(s -> context().err().println("- " + s));
    generated
        .conflicts()
        .forEach(c -> context().err().println("CONFLICT " + c.field() + ": " + c.message()));
    String yaml = Output.yaml(generated.config());
    write("--out", out, yaml);
    json.print(context(), generated, () -> context().out().print(yaml));
    context().out().flush();
  }

  private static void write(String flag, Path file, String text) throws UsageException {
    if (file == null) {
      return;
    }
    try {
      Files.writeString(file, text);
    } catch (IOException e) {
      throw new UsageException(flag, file.toString(), "a file that can be written");
    }
  }

  private ExitCode apply(
      ApiClient client, Configuration cell, GeneratedConfig generated, Answers answers)
      throws MasticspreadException {
    Configuration after = generated.config().mergedInto(cell);
    Problems problems = client.validate(after);
    if (!problems.problems().isEmpty()) {
      ProblemPrinter.print(context().err(), problems);
      return ExitCode.INVALID;
    }
    if (!yes && !isConfirmed()) {
      context().err().println("not applied");
      return ExitCode.OK;
    }
    String what = "questionnaire of team " + answers.team();
    long revision = client.change(new ConfigChange(cell.revision(), what, after));
    context().err().println("applied as revision " + revision);
    return ExitCode.OK;
  }

  private boolean isConfirmed() throws MasticspreadException {
    ConsoleSource console = new ConsoleSource(context());
    Question question = new Question("--yes", "Apply this configuration?", "yes, no", "");
    List<String> confirmations = List.of("yes", "y");
    return confirmations.contains(console.next(question).strip());
  }
}
