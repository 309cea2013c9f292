package org.masticspread.ctl.measure.request;

import java.util.concurrent.Callable;
import org.masticspread.ctl.measure.MeasureOptions;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Runs {@link FloodMeasure}. */
@Command(
    name = "flood",
    mixinStandardHelpOptions = true,
    description = "What each work class keeps while others flood.")
public final class FloodCommand implements Callable<Integer> {
  @Mixin private MeasureOptions options;
  @Spec private CommandSpec spec;

  @Override
  public Integer call() {
    options.print(FloodMeasure.of(options.seed()).report(), spec.commandLine().getOut());
    return 0;
  }
}
