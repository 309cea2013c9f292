package org.masticspread.ctl.command.work;

import picocli.CommandLine.Command;

/** The commands on jobs. */
@Command(
    name = "job",
    description = "Submit, show, list and cancel jobs.",
    subcommands = {
      JobSubmitCommand.class,
      JobShowCommand.class,
      JobListCommand.class,
      JobCancelCommand.class
    })
public final class JobCommand {}
