package org.masticspread.ctl.measure.cell;

import java.util.concurrent.Callable;
import org.masticspread.ctl.measure.MeasureOptions;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Runs {@link ControlMeasure}. */
@Command(
    name = "control",
    mixinStandardHelpOptions = true,
    description = "What control costs, idle and at load.")
public final class ControlCommand implements Callable<Integer> {
  @Mixin private MeasureOptions options;
  @Spec private CommandSpec spec;

  @Override
  public Integer call() {
    options.print(ControlMeasure.of(options.seed()).report(), spec.commandLine().getOut());
    return 0;
  }
}
