package org.masticspread.ctl.measure.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.masticspread.ctl.measure.MeasureOptions;
import org.masticspread.ctl.measure.MeasureReport;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/**
 * Measures how much is allocated before the first refusal, compared with baselines.
 *
 * <p>Example: {@code masticctl measure packing --seed 1 --json}.
 */
@Command(
    name = "packing",
    mixinStandardHelpOptions = true,
    description = "How full workers get before the first refusal, and which gangs still fit.")
public final class PackingCommand implements Callable<Integer> {
  @Mixin private MeasureOptions options;
  @Spec private CommandSpec spec;

  @Override
  public Integer call() {
    options.print(report(options.seed()), spec.commandLine().getOut());
    return 0;
  }

  /**
   * Runs the measure.
   *
   * @param seed the seed of the arrivals
   * @return a row for each deployment, scenario and strategy
   */
  public static MeasureReport<PackingRow> report(long seed) {
    List<PackingRow> rows = new ArrayList<>();
    for (Cell cell : List.of(Cell.mtkvari(), Cell.kitami(), Cell.later())) {
      for (PackingRun.Scenario scenario : PackingRun.Scenario.values()) {
        Strategies.all(seed)
            .forEach(
                (name, strategy) ->
                    rows.add(new PackingRun(cell, strategy, seed).run(name, scenario)));
      }
    }
    return new MeasureReport<>("packing", seed, rows);
  }
}
