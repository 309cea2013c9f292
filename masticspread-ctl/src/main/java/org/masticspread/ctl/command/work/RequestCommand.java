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
import org.masticspread.model.result.MasticspreadException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Runs one request and prints its complete answer. */
@Command(
    name = "request",
    description = {
      "Run one request and print its whole answer.",
      "A result that says 'not run' is retried under the same id; an unknown outcome never is."
    })
public final class RequestCommand extends CtlCommand {
  private static final Duration MAX_ANSWER_WITHIN = Duration.ofHours(1);

  @Mixin private NodeFlags node;
  @Mixin private JsonFlag json;
  @Mixin private ClassFlags names;
  @Mixin private RetryFlags retries;

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

  @Parameters(arity = "0..1", paramLabel = "BODY", description = "The text for the endpoint.")
  private String body;

  RequestCommand(CtlContext context) {
    super(context);
  }

  @Override
  protected ExitCode run() throws MasticspreadException, InterruptedException {
    Flags.requireBetween("--answer-within", answerWithin, Duration.ofMillis(1), MAX_ANSWER_WITHIN);
    RequestId sent = id == null ? RequestId.of(UUID.randomUUID().toString()) : id;
    RequestInput input =
        new RequestInput(names.team(), sent, names.workClass(), answerWithin, body);
    ApiClient client = node.client();
    RetryPolicy retryPolicy = retries.policy(context(), answerWithin);
    return ResultPrinter.print(context(), json, retryPolicy.call(() -> client.run(input)));
  }
}
