package org.masticspread.ctl.measure;

import org.masticspread.ctl.measure.cell.ConfigCommand;
import org.masticspread.ctl.measure.cell.ControlCommand;
import org.masticspread.ctl.measure.cell.RecoveryCommand;
import org.masticspread.ctl.measure.placement.DecisionsCommand;
import org.masticspread.ctl.measure.placement.PackingCommand;
import org.masticspread.ctl.measure.request.FloodCommand;
import org.masticspread.ctl.measure.request.WaitCommand;
import org.masticspread.ctl.measure.slopes.SlopesCommand;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The parent of the measure commands. */
@Command(
    name = "measure",
    mixinStandardHelpOptions = true,
    description = "Measures the decisions on a virtual clock, next to baselines in the same run.",
    subcommands = {
      FloodCommand.class,
      WaitCommand.class,
      PackingCommand.class,
      DecisionsCommand.class,
      SlopesCommand.class,
      RecoveryCommand.class,
      ConfigCommand.class,
      ControlCommand.class
    })
public final class MeasureCommand implements Runnable {
  @Spec private CommandSpec spec;

  @Override
  public void run() {
    throw new ParameterException(spec.commandLine(), "measure: name one of the measures");
  }
}
