package org.masticspread.ctl.command.entity;

import org.masticspread.ctl.client.TeamToken;
import org.masticspread.ctl.command.CtlCommand;
import org.masticspread.ctl.command.CtlContext;
import org.masticspread.ctl.command.ExitCode;
import org.masticspread.ctl.command.JsonFlag;
import org.masticspread.ctl.command.NodeFlags;
import org.masticspread.model.id.TeamId;
import org.masticspread.model.result.MasticspreadException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** Prints the bearer token of a team. */
@Command
final class TeamTokenCommand extends CtlCommand {
  @Mixin private NodeFlags node;
  @Mixin private JsonFlag json;

  @Parameters(paramLabel = "NAME", description = "The name of the team.")
  private TeamId team;

  TeamTokenCommand(CtlContext context) {
    super(context);
  }

  @Override
  protected ExitCode run() throws MasticspreadException {
    TeamToken token = node.client().teamToken(team);
    json.print(context(), token, () -> context().out().println(token.token()));
    return ExitCode.OK;
  }
}
