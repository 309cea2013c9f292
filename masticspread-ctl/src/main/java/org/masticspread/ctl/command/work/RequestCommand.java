package org.masticspread.ctl.command.work;

import java.time.Duration;
import java.util.UUID;
import org.masticspread.ctl.client.ApiClient;
import org.masticspread.ctl.client.RequestInput;
import org.masticspread.ctl.command.CtlCommand;
import org.masticspread.ctl.command.CtlContext;
import org.masticspread.ctl.command.ExitCode;
import org.masticspread.ctl.command.Flags;
import org.masticspread.ctl.command.JsonFlag;
import org.masticspread.ctl.command.NodeFlags;
import org.masticspread.model.id.RequestId;
import org.masticspread.model.id.TeamId;
import org.masticspread.model.id.WorkClassId;
import org.masticspread.model.result.MasticspreadException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Runs one request and prints its whole answer. */
@Command(
    name = "request",
    description = {
      "Run one request and print its whole answer.",
      "A result that says 'not run' is retried under the same id; an unknown outcome never is."
    })
public final class RequestCommand extends CtlCommand {
  private static final Duration MAX_ANSWER_WITHIN = Duration.ofHours(1);
  private static final Duration DEFAULT_RETRY_TIME = Duration.ofSeconds(10);
  private static final int MAX_RETRIES = 100;

  @Mixin private NodeFlags node;
  @Mixin private JsonFlag json;

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

  @Option(
      names = "--request-id",
      paramLabel = "ID",
      description = "The id of the request; made up when it is missing.")
  private RequestId id;

  @Option(
      names = "--answer-within",
      paramLabel = "TIME",
      description = "The answer time, such as 2s; that of the work class when it is missing.")
  private Duration answerWithin;

  @Option(
      names = "--retries",
      defaultValue = "3",
      paramLabel = "N",
      description = "The most repeats when the request certainly did not run; default 3.")
  private int retries;

  @Parameters(arity = "0..1", paramLabel = "BODY", description = "The text for the endpoint.")
  private String body;

  RequestCommand(CtlContext context) {
    super(context);
  }

  @Override
  protected ExitCode run() throws MasticspreadException, InterruptedException {
    Flags.requireBetween("--answer-within", answerWithin, Duration.ofMillis(1), MAX_ANSWER_WITHIN);
    Flags.requireBetween("--retries", retries, 0, MAX_RETRIES);
    RequestId sent = id == null ? RequestId.of(UUID.randomUUID().toString()) : id;
    RequestInput input = new RequestInput(team, sent, workClass, answerWithin, body);
    Duration within = answerWithin == null ? DEFAULT_RETRY_TIME : answerWithin;
    ApiClient client = node.client();
    Retrying retrying = new Retrying(context(), retries, within);
    return ResultPrinter.print(context(), json, retrying.call(() -> client.run(input)));
  }
}
