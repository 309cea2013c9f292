package org.masticspread.ctl.measure.cell;

import java.util.concurrent.Callable;
import org.masticspread.ctl.measure.MeasureOptions;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Runs {@link ConfigMeasure}. */
@Command(
    name = "config",
    mixinStandardHelpOptions = true,
    description = "How soon a configuration is in force on every VM.")
public final class ConfigCommand implements Callable<Integer> {
  @Mixin private MeasureOptions options;
  @Spec private CommandSpec spec;

  @Override
  public Integer call() {
    options.print(ConfigMeasure.of(options.seed()).report(), spec.commandLine().getOut());
    return 0;
  }
}
