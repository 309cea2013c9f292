package org.masticspread.ctl.measure.cell;

import java.util.concurrent.Callable;
import org.masticspread.ctl.measure.MeasureOptions;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Runs {@link RecoveryMeasure}. */
@Command(
    name = "recovery",
    mixinStandardHelpOptions = true,
    description = "How soon a cell serves again after a fault, and what it lost or doubled.")
public final class RecoveryCommand implements Callable<Integer> {
  @Mixin private MeasureOptions options;
  @Spec private CommandSpec spec;

  @Override
  public Integer call() {
    options.print(RecoveryMeasure.of(options.seed()).report(), spec.commandLine().getOut());
    return 0;
  }
}
