package org.masticspread.ctl.command.watch;

import org.masticspread.ctl.client.NodeStatus;
import org.masticspread.ctl.command.CtlCommand;
import org.masticspread.ctl.command.CtlContext;
import org.masticspread.ctl.command.ExitCode;
import org.masticspread.ctl.command.JsonFlag;
import org.masticspread.ctl.command.NodeFlags;
import org.masticspread.model.result.MasticspreadException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Shows the state of a node. */
@Command(name = "status", description = "Show the state of the first node that answers.")
public final class StatusCommand extends CtlCommand {
  @Mixin private NodeFlags node;
  @Mixin private JsonFlag json;

  StatusCommand(CtlContext context) {
    super(context);
  }

  @Override
  protected ExitCode run() throws MasticspreadException {
    NodeStatus status = node.client().status();
    json.print(context(), status, () -> StatusPrinter.print(context().out(), status));
    return ExitCode.OK;
  }
}
