package org.masticspread.ctl.measure.request;

import java.util.concurrent.Callable;
import org.masticspread.ctl.measure.MeasureOptions;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Runs {@link WaitMeasure}. */
@Command(
    name = "wait",
    mixinStandardHelpOptions = true,
    description = "Waiting with executor speeds eight times apart at 85 %% load.")
public final class WaitCommand implements Callable<Integer> {
  @Mixin private MeasureOptions options;
  @Spec private CommandSpec spec;

  @Override
  public Integer call() {
    options.print(WaitMeasure.of(options.seed()).report(), spec.commandLine().getOut());
    return 0;
  }
}
