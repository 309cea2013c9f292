package org.masticspread.ctl.command.config;

import org.masticspread.ctl.client.AuditTrail;
import org.masticspread.ctl.command.AuditTrailCommand;
import org.masticspread.ctl.command.CtlContext;
import org.masticspread.ctl.output.Table;
import picocli.CommandLine.Command;

@Command(name = "history", description = "List the revisions, newest first.")
final class ConfigHistoryCommand extends AuditTrailCommand {
  ConfigHistoryCommand(CtlContext context) {
    super(context);
  }

  @Override
  protected void print(AuditTrail trail) {
    Table table = Table.of("REVISION", "AT", "WHO", "WHAT");
    trail.entries().forEach(e -> table.row(e.revision(), e.at(), e.who(), e.what()));
    table.print(context().out());
  }
}
