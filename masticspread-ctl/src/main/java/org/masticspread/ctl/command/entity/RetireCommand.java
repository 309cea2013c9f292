package org.masticspread.ctl.command.entity;

import org.masticspread.ctl.command.CtlContext;
import org.masticspread.ctl.command.ExitCode;
import org.masticspread.ctl.config.EntityKind;
import org.masticspread.model.result.MasticspreadException;
import picocli.CommandLine.Command;

/** Retires an entry; its name can not be used again. */
@Command
final class RetireCommand<T> extends EntityCommand<T> {
  RetireCommand(CtlContext context, EntityKind<T> kind) {
    super(context, kind);
  }

  @Override
  protected ExitCode run() throws MasticspreadException {
    return edit("retired", c -> kind().retire().apply(c, find(c)));
  }
}
