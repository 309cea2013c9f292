package org.masticspread.ctl.command.config;

import org.masticspread.ctl.client.ApiClient;
import org.masticspread.ctl.command.CtlCommand;
import org.masticspread.ctl.command.CtlContext;
import org.masticspread.ctl.command.ExitCode;
import org.masticspread.ctl.command.Flags;
import org.masticspread.ctl.command.JsonFlag;
import org.masticspread.ctl.command.NodeFlags;
import org.masticspread.ctl.output.Output;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.result.MasticspreadException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

@Command(name = "show", description = "Print a configuration as YAML, fit for 'config apply'.")
final class ConfigShowCommand extends CtlCommand {
  @Mixin private NodeFlags node;
  @Mixin private JsonFlag json;

  @Option(
      names = "--revision",
      paramLabel = "N",
      description = "The revision; that in force when it is missing.")
  private Long revision;

  ConfigShowCommand(CtlContext context) {
    super(context);
  }

  @Override
  protected ExitCode run() throws MasticspreadException {
    Flags.requireBetween("--revision", revision, 0, Long.MAX_VALUE);
    ApiClient client = node.client();
    Configuration shown =
        revision == null ? client.configuration() : client.configuration(revision);
    json.print(context(), shown, () -> context().out().print(Output.yaml(shown)));
    return ExitCode.OK;
  }
}
