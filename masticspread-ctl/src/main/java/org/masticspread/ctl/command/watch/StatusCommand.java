package org.masticspread.ctl.command.watch;

import org.masticspread.ctl.client.NodeStatus;
import org.masticspread.ctl.command.CtlCommand;
import org.masticspread.ctl.command.CtlContext;
import org.masticspread.ctl.command.ExitCode;
import org.masticspread.ctl.command.JsonFlag;
import org.masticspread.ctl.command.NodeFlags;
import org.masticspread.ctl.output.Table;
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
    json.print(context(), status, () -> print(status));
    return ExitCode.OK;
  }

  private void print(NodeStatus status) {
    Table.of("FIELD", "VALUE")
        .row("vm", status.vm())
        .row("incarnation", status.incarnation())
        .row("config revision", status.configRevision())
        .row("ready", status.ready())
        .row("store reached", status.storeReached())
        .row("live VMs", StatusText.of(status.vms()))
        .row("work shards", StatusText.of(status.shards()))
        .row("rack shards", StatusText.of(status.racks()))
        .row("home", StatusText.of(status.home()))
        .print(context().out());
  }
}
