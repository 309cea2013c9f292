package org.masticspread.ctl.measure.cell;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.masticspread.ctl.measure.MeasureReport;
import org.masticspread.node.trial.TrialCell;

/**
 * A measure of the time until a change of the configuration is in force on every VM.
 *
 * <p>Example: {@code ConfigMeasure.of(1).report()}.
 */
public final class ConfigMeasure {
  private static final List<Integer> VMS = List.of(3, 6, 9, 18);
  private static final int CHANGES = 10;
  private static final Duration POLL_INTERVAL = Duration.ofMillis(10);
  private static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final Duration CHANGE_INTERVAL = Duration.ofMillis(730);

  private final long seed;

  private ConfigMeasure(long seed) {
    this.seed = seed;
  }

  /**
   * Returns a measure.
   *
   * @param seed the seed of the run
   * @return the measure
   */
  public static ConfigMeasure of(long seed) {
    return new ConfigMeasure(seed);
  }

  /**
   * Applies changes at different VMs in cells of several sizes.
   *
   * @return the rows
   */
  public MeasureReport<ConfigRow> report() {
    return new MeasureReport<>("config", seed, VMS.stream().map(this::row).toList());
  }

  private ConfigRow row(int vms) {
    TrialCell cell = TrialCell.of(vms, seed).warmUp();
    List<Long> times = new ArrayList<>();
    for (int i = 0; i < CHANGES; i++) {
      times.add(measureChange(cell, 1 + i % vms));
      cell.advance(CHANGE_INTERVAL);
    }
    int reverted =
        (int) cell.violations().stream().filter(v -> v.contains("CONFIG_MONOTONIC")).count();
    return new ConfigRow(vms, times.stream().mapToLong(t -> t).max().orElse(0), reverted);
  }

  private static long measureChange(TrialCell cell, int vm) {
    Instant applied = cell.now();
    long revision = cell.apply(vm, cell.inForce(vm)).orElseThrow();
    while (!isInForce(cell, revision) && cell.now().isBefore(applied.plus(TIMEOUT))) {
      cell.advance(POLL_INTERVAL);
    }
    return Duration.between(applied, cell.now()).toMillis();
  }

  private static boolean isInForce(TrialCell cell, long revision) {
    return IntStream.rangeClosed(1, cell.size())
        .allMatch(vm -> cell.inForce(vm).revision() >= revision);
  }
}
