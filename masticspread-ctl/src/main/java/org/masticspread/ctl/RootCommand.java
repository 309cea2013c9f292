package org.masticspread.ctl;

import org.masticspread.ctl.command.CompletionCommand;
import org.masticspread.ctl.command.config.ConfigCommand;
import org.masticspread.ctl.command.questionnaire.QuestionnaireCommand;
import org.masticspread.ctl.command.watch.AuditCommand;
import org.masticspread.ctl.command.watch.ExplainCommand;
import org.masticspread.ctl.command.watch.MetricsCommand;
import org.masticspread.ctl.command.watch.StatusCommand;
import org.masticspread.ctl.command.watch.TopCommand;
import org.masticspread.ctl.command.work.JobCommand;
import org.masticspread.ctl.command.work.RequestCommand;
import org.masticspread.ctl.measure.MeasureCommand;
import picocli.CommandLine.Command;

/** The root command; {@code EntityCommands} adds its other subcommands. */
@Command(
    name = "masticctl",
    description = "The command line of masticspread, for operators and teams.",
    subcommands = {
      RequestCommand.class,
      JobCommand.class,
      StatusCommand.class,
      TopCommand.class,
      ExplainCommand.class,
      AuditCommand.class,
      MetricsCommand.class,
      ConfigCommand.class,
      QuestionnaireCommand.class,
      MeasureCommand.class,
      CompletionCommand.class
    })
final class RootCommand {}
