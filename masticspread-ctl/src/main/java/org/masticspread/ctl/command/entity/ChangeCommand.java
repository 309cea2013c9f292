package org.masticspread.ctl.command.entity;

import org.masticspread.ctl.command.CtlContext;
import org.masticspread.ctl.command.ExitCode;
import org.masticspread.ctl.command.UsageException;
import org.masticspread.ctl.config.EntityKind;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.result.MasticspreadException;
import picocli.CommandLine.Command;

/** Changes the fields of an entry whose flags are given; the other fields stay as they are. */
@Command
final class ChangeCommand<T> extends EntityCommand<T> {
  private final EntityFlags<T> fields;

  ChangeCommand(CtlContext context, EntityKind<T> kind, EntityFlags<T> fields) {
    super(context, kind);
    this.fields = fields;
  }

  @Override
  protected ExitCode run() throws MasticspreadException {
    return edit("changed", this::change);
  }

  private Configuration change(Configuration configuration) throws MasticspreadException {
    T before = find(configuration);
    T after = fields.change(before);
    if (after.equals(before)) {
      throw new UsageException("flags", "", "at least one flag with a value that differs");
    }
    return kind().put(configuration, after);
  }
}
