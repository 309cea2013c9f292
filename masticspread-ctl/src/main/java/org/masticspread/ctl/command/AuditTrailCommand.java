package org.masticspread.ctl.command;

import org.masticspread.ctl.client.AuditTrail;
import org.masticspread.model.result.MasticspreadException;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** A command that reads the audit trail. */
public abstract class AuditTrailCommand extends CtlCommand {
  private static final int MAX_LIMIT = 1000;

  @Mixin private NodeFlags node;
  @Mixin private JsonFlag json;

  @Option(
      names = "--limit",
      defaultValue = "20",
      paramLabel = "N",
      description = "The most changes to read, from 1 to 1000; default 20.")
  private int limit;

  /**
   * Creates a command.
   *
   * @param context the environment of the process
   */
  protected AuditTrailCommand(CtlContext context) {
    super(context);
  }

  /**
   * Prints the audit trail as text.
   *
   * @param trail the audit trail
   */
  protected abstract void print(AuditTrail trail);

  @Override
  protected final ExitCode run() throws MasticspreadException {
    Flags.requireBetween("--limit", limit, 1, MAX_LIMIT);
    AuditTrail trail = node.client().audit(limit);
    json.print(context(), trail, () -> print(trail));
    return ExitCode.OK;
  }
}
