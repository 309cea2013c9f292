package org.masticspread.ctl;

import org.masticspread.ctl.command.watch.StatusCommand;
import org.masticspread.ctl.command.work.JobCommand;
import org.masticspread.ctl.command.work.RequestCommand;
import picocli.CommandLine.Command;

@Command(
    name = "masticctl",
    description = "The command line of masticspread, for operators and teams.",
    subcommands = {RequestCommand.class, JobCommand.class, StatusCommand.class})
final class RootCommand {}
