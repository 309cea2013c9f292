package org.masticspread.ctl.command.entity;

import org.masticspread.ctl.command.CtlContext;
import org.masticspread.ctl.command.ExitCode;
import org.masticspread.ctl.config.EntityKind;
import org.masticspread.ctl.output.Output;
import org.masticspread.model.result.MasticspreadException;
import picocli.CommandLine.Command;

/** Shows an entry. */
@Command
final class ShowCommand<T> extends EntityCommand<T> {
  ShowCommand(CtlContext context, EntityKind<T> kind) {
    super(context, kind);
  }

  @Override
  protected ExitCode run() throws MasticspreadException {
    T entry = find(node().client().configuration());
    json().print(context(), entry, () -> context().out().print(Output.yaml(entry)));
    return ExitCode.OK;
  }
}
