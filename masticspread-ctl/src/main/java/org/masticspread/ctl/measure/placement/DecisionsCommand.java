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
 * Measures the time that decisions take in the cell of 550 workers, on one thread.
 *
 * <p>Example: {@code masticctl measure decisions --seed 1}.
 */
@Command(
    name = "decisions",
    mixinStandardHelpOptions = true,
    description = "How long decisions take with 550 workers and 16,000 running tasks.")
public final class DecisionsCommand implements Callable<Integer> {
  private static final int WARM_UP_ROUNDS = 20_000;
  private static final int TIMED_ROUNDS = 50_000;

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
   * @param seed the seed of the load
   * @return a row for each kind of decision
   */
  public static MeasureReport<DecisionRow> report(long seed) {
    List<DecisionRow> rows = new ArrayList<>(ledgerRows(seed));
    rows.add(new PickLoad(seed).row());
    rows.add(new GangLoad(seed).row());
    return new MeasureReport<>("decisions", seed, rows);
  }

  private static List<DecisionRow> ledgerRows(long seed) {
    DecisionTimer place = new DecisionTimer("place");
    DecisionTimer release = new DecisionTimer("release");
    LedgerLoad load = new LedgerLoad(seed);
    for (int i = -WARM_UP_ROUNDS; i < TIMED_ROUNDS; i++) {
      if (i == 0) {
        place.reset();
        release.reset();
      }
      release.time(load::end);
      load.arrive();
      place.time(load::place);
    }
    return List.of(place.row(), release.row());
  }
}
