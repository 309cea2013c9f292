package org.masticspread.ctl.command.watch;

import org.masticspread.ctl.client.AuditTrail;
import org.masticspread.ctl.command.AuditTrailCommand;
import org.masticspread.ctl.command.CtlContext;
import org.masticspread.ctl.output.AuditText;
import picocli.CommandLine.Command;

/** Shows the audit trail of the configuration: revision, time, author, values before and after. */
@Command(
    name = "audit",
    description = "Show changes of the configuration with before and after, newest first.")
public final class AuditCommand extends AuditTrailCommand {
  AuditCommand(CtlContext context) {
    super(context);
  }

  @Override
  protected void print(AuditTrail trail) {
    trail.entries().forEach(e -> AuditText.print(context().out(), e));
  }
}
