package org.masticspread.ctl.command.entity;

import org.masticspread.ctl.command.CtlCommand;
import org.masticspread.ctl.command.CtlContext;
import org.masticspread.ctl.command.ExitCode;
import org.masticspread.ctl.command.JsonFlag;
import org.masticspread.ctl.command.NodeFlags;
import org.masticspread.ctl.config.EntityKind;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.result.InvalidFieldException;
import org.masticspread.model.result.MasticspreadException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Creates an entry. */
@Command
final class CreateCommand<T> extends CtlCommand {
  private final EntityKind<T> kind;
  private final EntityFlags<T> fields;

  @Mixin private NodeFlags node;
  @Mixin private JsonFlag json;
  @Mixin private NameParameter name;

  CreateCommand(CtlContext context, EntityKind<T> kind, EntityFlags<T> fields) {
    super(context);
    this.kind = kind;
    this.fields = fields;
  }

  @Override
  protected ExitCode run() throws MasticspreadException {
    T entry = fields.create(name.name());
    String what = kind.noun() + " " + name.name() + " created";
    return ConfigEditor.print(
        context(), json, ConfigEditor.edit(node.client(), what, c -> add(c, entry)));
  }

  private Configuration add(Configuration configuration, T entry) throws InvalidFieldException {
    if (kind.find(configuration, name.name()).isPresent()) {
      throw new InvalidFieldException(
          kind.noun(), name.name(), "a name that is not used; 'change' changes this one");
    }
    return kind.put(configuration, entry);
  }
}
