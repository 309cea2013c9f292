package org.masticspread.ctl.measure.slopes;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.masticspread.ctl.measure.MeasureOptions;
import org.masticspread.ctl.measure.MeasureReport;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * Measures how the cost of state, decisions and messages grows with their sizes. Heap and time
 * values differ between runs; rows marked exact do not.
 *
 * <p>Example: {@code masticctl measure slopes --seed 1}.
 */
@Command(
    name = "slopes",
    mixinStandardHelpOptions = true,
    description = "What state, decisions and messages cost, at three or more sizes each.")
public final class SlopesCommand implements Callable<Integer> {
  private static final int SCALE = 100;
  private static final int QUICK_SCALE = 10;

  @Mixin private MeasureOptions options;

  @Option(names = "--quick", description = "smaller sizes; heap and times are less certain")
  private boolean quick;

  @Spec private CommandSpec spec;

  @Override
  public Integer call() {
    options.print(report(options.seed(), quick), spec.commandLine().getOut());
    return 0;
  }

  /**
   * Runs the measure.
   *
   * @param seed the seed of the decisions
   * @param quick whether to use smaller sizes
   * @return a row for each cost
   */
  public static MeasureReport<SlopeRow> report(long seed, boolean quick) {
    int scale = quick ? QUICK_SCALE : SCALE;
    List<SlopeRow> rows = new ArrayList<>();
    rows.addAll(HeapSlopes.rows(scale, seed));
    rows.addAll(StoreSlopes.rows(scale, seed));
    rows.addAll(TimeSlopes.rows(scale, seed));
    rows.addAll(MessageSlopes.rows());
    return new MeasureReport<>("slopes", seed, rows);
  }
}
