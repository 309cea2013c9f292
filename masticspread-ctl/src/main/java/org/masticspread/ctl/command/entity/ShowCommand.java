package org.masticspread.ctl.command.entity;

import org.masticspread.ctl.command.CtlCommand;
import org.masticspread.ctl.command.CtlContext;
import org.masticspread.ctl.command.ExitCode;
import org.masticspread.ctl.command.JsonFlag;
import org.masticspread.ctl.command.NodeFlags;
import org.masticspread.ctl.config.EntityKind;
import org.masticspread.ctl.output.Output;
import org.masticspread.model.result.MasticspreadException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Shows an entry. */
@Command
final class ShowCommand<T> extends CtlCommand {
  private final EntityKind<T> kind;

  @Mixin private NodeFlags node;
  @Mixin private JsonFlag json;
  @Mixin private NameParameter name;

  ShowCommand(CtlContext context, EntityKind<T> kind) {
    super(context);
    this.kind = kind;
  }

  @Override
  protected ExitCode run() throws MasticspreadException {
    T entry = name.find(kind, node.client().configuration());
    json.print(context(), entry, () -> context().out().print(Output.yaml(entry)));
    return ExitCode.OK;
  }
}
