package org.masticspread.ctl.command.watch;

import org.masticspread.ctl.client.AuditTrail;
import org.masticspread.ctl.command.CtlCommand;
import org.masticspread.ctl.command.CtlContext;
import org.masticspread.ctl.command.ExitCode;
import org.masticspread.ctl.command.Flags;
import org.masticspread.ctl.command.JsonFlag;
import org.masticspread.ctl.command.NodeFlags;
import org.masticspread.ctl.output.AuditText;
import org.masticspread.model.result.MasticspreadException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Shows the changes of the configuration: who, when, revision, before and after. */
@Command(
    name = "audit",
    description = "Show changes of the configuration with before and after, newest first.")
public final class AuditCommand extends CtlCommand {
  private static final int MAX_LIMIT = 1000;

  @Mixin private NodeFlags node;
  @Mixin private JsonFlag json;

  @Option(
      names = "--limit",
      defaultValue = "20",
      paramLabel = "N",
      description = "The most changes to show, from 1 to 1000; default 20.")
  private int limit;

  AuditCommand(CtlContext context) {
    super(context);
  }

  @Override
  protected ExitCode run() throws MasticspreadException {
    Flags.requireBetween("--limit", limit, 1, MAX_LIMIT);
    AuditTrail trail = node.client().audit(limit);
    json.print(
        context(), trail, () -> trail.entries().forEach(e -> AuditText.print(context().out(), e)));
    return ExitCode.OK;
  }
}
