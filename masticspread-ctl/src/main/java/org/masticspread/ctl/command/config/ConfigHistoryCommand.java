package org.masticspread.ctl.command.config;

import org.masticspread.ctl.client.AuditTrail;
import org.masticspread.ctl.command.CtlCommand;
import org.masticspread.ctl.command.CtlContext;
import org.masticspread.ctl.command.ExitCode;
import org.masticspread.ctl.command.Flags;
import org.masticspread.ctl.command.JsonFlag;
import org.masticspread.ctl.command.NodeFlags;
import org.masticspread.ctl.output.Table;
import org.masticspread.model.result.MasticspreadException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

@Command(name = "history", description = "List the revisions, newest first.")
final class ConfigHistoryCommand extends CtlCommand {
  private static final int MAX_LIMIT = 1000;

  @Mixin private NodeFlags node;
  @Mixin private JsonFlag json;

  @Option(
      names = "--limit",
      defaultValue = "20",
      paramLabel = "N",
      description = "The most revisions to list, from 1 to 1000; default 20.")
  private int limit;

  ConfigHistoryCommand(CtlContext context) {
    super(context);
  }

  @Override
  protected ExitCode run() throws MasticspreadException {
    Flags.requireBetween("--limit", limit, 1, MAX_LIMIT);
    AuditTrail trail = node.client().audit(limit);
    json.print(context(), trail, () -> print(trail));
    return ExitCode.OK;
  }

  private void print(AuditTrail trail) {
    Table table = Table.of("REVISION", "AT", "WHO", "WHAT");
    trail.entries().forEach(e -> table.row(e.revision(), e.at(), e.who(), e.what()));
    table.print(context().out());
  }
}
