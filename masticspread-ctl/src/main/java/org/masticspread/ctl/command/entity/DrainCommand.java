package org.masticspread.ctl.command.entity;

import java.util.function.BiFunction;
import org.masticspread.ctl.command.CtlCommand;
import org.masticspread.ctl.command.CtlContext;
import org.masticspread.ctl.command.ExitCode;
import org.masticspread.ctl.command.JsonFlag;
import org.masticspread.ctl.command.NodeFlags;
import org.masticspread.ctl.config.EntityKind;
import org.masticspread.model.config.EndpointState;
import org.masticspread.model.result.MasticspreadException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Gives an endpoint or worker no new work; work in flight ends. */
@Command
final class DrainCommand<T> extends CtlCommand {
  private final EntityKind<T> kind;
  private final BiFunction<T, EndpointState, T> withState;

  @Mixin private NodeFlags node;
  @Mixin private JsonFlag json;
  @Mixin private NameParameter name;

  DrainCommand(CtlContext context, EntityKind<T> kind, BiFunction<T, EndpointState, T> withState) {
    super(context);
    this.kind = kind;
    this.withState = withState;
  }

  @Override
  protected ExitCode run() throws MasticspreadException {
    String what = kind.noun() + " " + name.name() + " drained";
    ConfigEditor.Edit edit =
        c -> kind.put(c, withState.apply(name.find(kind, c), EndpointState.LEAVING));
    return ConfigEditor.print(context(), json, ConfigEditor.edit(node.client(), what, edit));
  }
}
