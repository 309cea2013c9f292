package org.masticspread.ctl.command.entity;

import org.masticspread.ctl.command.CtlCommand;
import org.masticspread.ctl.command.CtlContext;
import org.masticspread.ctl.command.ExitCode;
import org.masticspread.ctl.command.JsonFlag;
import org.masticspread.ctl.command.NodeFlags;
import org.masticspread.ctl.command.UsageException;
import org.masticspread.ctl.config.EntityKind;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.result.MasticspreadException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Changes fields of an entry; fields without a flag stay. */
@Command
final class ChangeCommand<T> extends CtlCommand {
  private final EntityKind<T> kind;
  private final EntityFlags<T> fields;

  @Mixin private NodeFlags node;
  @Mixin private JsonFlag json;
  @Mixin private NameParameter name;

  ChangeCommand(CtlContext context, EntityKind<T> kind, EntityFlags<T> fields) {
    super(context);
    this.kind = kind;
    this.fields = fields;
  }

  @Override
  protected ExitCode run() throws MasticspreadException {
    String what = kind.noun() + " " + name.name() + " changed";
    return ConfigEditor.print(
        context(), json, ConfigEditor.edit(node.client(), what, this::change));
  }

  private Configuration change(Configuration configuration) throws MasticspreadException {
    T before = name.find(kind, configuration);
    T after = fields.change(before);
    if (after.equals(before)) {
      throw new UsageException("flags", "", "at least one flag with a value that differs");
    }
    return kind.put(configuration, after);
  }
}
