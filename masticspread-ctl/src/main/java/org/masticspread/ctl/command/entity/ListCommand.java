package org.masticspread.ctl.command.entity;

import java.util.List;
import org.masticspread.ctl.command.CtlCommand;
import org.masticspread.ctl.command.CtlContext;
import org.masticspread.ctl.command.ExitCode;
import org.masticspread.ctl.command.JsonFlag;
import org.masticspread.ctl.command.NodeFlags;
import org.masticspread.ctl.config.EntityKind;
import org.masticspread.ctl.output.RecordTable;
import org.masticspread.model.result.MasticspreadException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Lists the entries of a kind. */
@Command
final class ListCommand<T> extends CtlCommand {
  private final EntityKind<T> kind;

  @Mixin private NodeFlags node;
  @Mixin private JsonFlag json;

  ListCommand(CtlContext context, EntityKind<T> kind) {
    super(context);
    this.kind = kind;
  }

  @Override
  protected ExitCode run() throws MasticspreadException {
    List<T> entries = kind.read().apply(node.client().configuration());
    json.print(context(), entries, () -> RecordTable.print(context().out(), entries));
    return ExitCode.OK;
  }
}
