package org.masticspread.ctl.command.entity;

import org.masticspread.ctl.command.CtlContext;
import org.masticspread.ctl.command.ExitCode;
import org.masticspread.ctl.config.EntityKind;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.result.InvalidFieldException;
import org.masticspread.model.result.MasticspreadException;
import picocli.CommandLine.Command;

/** Creates an entry. */
@Command
final class CreateCommand<T> extends EntityCommand<T> {
  private final EntityFlags<T> fields;

  CreateCommand(CtlContext context, EntityKind<T> kind, EntityFlags<T> fields) {
    super(context, kind);
    this.fields = fields;
  }

  @Override
  protected ExitCode run() throws MasticspreadException {
    T entry = fields.create(name());
    return edit("created", c -> add(c, entry));
  }

  private Configuration add(Configuration configuration, T entry) throws InvalidFieldException {
    if (kind().find(configuration, name()).isPresent()) {
      throw new InvalidFieldException(
          kind().noun(), name(), "a name that is not used; 'change' changes this one");
    }
    return kind().put(configuration, entry);
  }
}
