package org.masticspread.ctl.command.config;

import org.masticspread.ctl.client.ApiClient;
import org.masticspread.ctl.client.Problems;
import org.masticspread.ctl.command.CtlCommand;
import org.masticspread.ctl.command.CtlContext;
import org.masticspread.ctl.command.ExitCode;
import org.masticspread.ctl.command.JsonFlag;
import org.masticspread.ctl.command.NodeFlags;
import org.masticspread.ctl.config.ConfigFile;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.result.MasticspreadException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

@Command(
    name = "validate",
    description = "Check a file here and on a node; changes nothing. Names the field of a problem.")
final class ConfigValidateCommand extends CtlCommand {
  @Mixin private NodeFlags node;
  @Mixin private JsonFlag json;
  @Mixin private FileFlags file;

  ConfigValidateCommand(CtlContext context) {
    super(context);
  }

  @Override
  protected ExitCode run() throws MasticspreadException {
    ConfigFile content = file.read();
    ApiClient client = node.client();
    Configuration after = file.applyTo(content, client.configuration());
    Problems problems = client.validate(after);
    json.print(context(), problems, () -> ProblemPrinter.print(context().out(), problems));
    return problems.problems().isEmpty() ? ExitCode.OK : ExitCode.INVALID;
  }
}
