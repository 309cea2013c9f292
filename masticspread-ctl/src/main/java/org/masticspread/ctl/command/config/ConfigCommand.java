package org.masticspread.ctl.command.config;

import picocli.CommandLine.Command;

/** The parent of the commands on complete configurations. */
@Command(
    name = "config",
    description = "Show, check, compare and apply configurations kept in YAML files.",
    subcommands = {
      ConfigShowCommand.class,
      ConfigValidateCommand.class,
      ConfigDiffCommand.class,
      ConfigApplyCommand.class,
      ConfigHistoryCommand.class
    })
public final class ConfigCommand {}
