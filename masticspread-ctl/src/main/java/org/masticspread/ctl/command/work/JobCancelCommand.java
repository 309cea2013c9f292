package org.masticspread.ctl.command.work;

import org.masticspread.ctl.command.CtlCommand;
import org.masticspread.ctl.command.CtlContext;
import org.masticspread.ctl.command.ExitCode;
import org.masticspread.ctl.command.JsonFlag;
import org.masticspread.ctl.command.NodeFlags;
import org.masticspread.model.result.MasticspreadException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

@Command(name = "cancel", description = "Cancel a job; running tasks are stopped.")
final class JobCancelCommand extends CtlCommand {
  @Mixin private NodeFlags node;
  @Mixin private JsonFlag json;
  @Mixin private JobName name;

  JobCancelCommand(CtlContext context) {
    super(context);
  }

  @Override
  protected ExitCode run() throws MasticspreadException {
    return ResultPrinter.print(context(), json, node.client().cancel(name.key()));
  }
}
