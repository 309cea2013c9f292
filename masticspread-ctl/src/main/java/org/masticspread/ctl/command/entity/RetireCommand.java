package org.masticspread.ctl.command.entity;

import org.masticspread.ctl.command.CtlCommand;
import org.masticspread.ctl.command.CtlContext;
import org.masticspread.ctl.command.ExitCode;
import org.masticspread.ctl.command.JsonFlag;
import org.masticspread.ctl.command.NodeFlags;
import org.masticspread.ctl.config.EntityKind;
import org.masticspread.model.result.MasticspreadException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Takes an entry out of service; its name stays used. */
@Command
final class RetireCommand<T> extends CtlCommand {
  private final EntityKind<T> kind;

  @Mixin private NodeFlags node;
  @Mixin private JsonFlag json;
  @Mixin private NameParameter name;

  RetireCommand(CtlContext context, EntityKind<T> kind) {
    super(context);
    this.kind = kind;
  }

  @Override
  protected ExitCode run() throws MasticspreadException {
    String what = kind.noun() + " " + name.name() + " retired";
    ConfigEditor.Edit edit = c -> kind.retire().apply(c, name.find(kind, c));
    return ConfigEditor.print(context(), json, ConfigEditor.edit(node.client(), what, edit));
  }
}
