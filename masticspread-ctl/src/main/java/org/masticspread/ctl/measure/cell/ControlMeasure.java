package org.masticspread.ctl.measure.cell;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.masticspread.ctl.measure.MeasureReport;
import org.masticspread.node.trial.TrialCell;
import org.masticspread.node.trial.TrialRun;

/**
 * A measure of the overhead of control in messages, bytes, store calls and CPU time, both idle and
 * under load.
 *
 * <p>Example: {@code ControlMeasure.of(1).report()}.
 */
public final class ControlMeasure {
  private static final List<Integer> VMS = List.of(3, 6, 9, 18);
  private static final Duration MEASURED_TIME = Duration.ofSeconds(30);
  private static final double NANOS_PER_SECOND = 1e9;

  private final long seed;

  private ControlMeasure(long seed) {
    this.seed = seed;
  }

  /** The values of the counters at one instant. */
  private record Counts(long bytes, long messages, long writes, long reads, long cpuNanos) {
    static Counts of(TrialCell cell) {
      ThreadMXBean threads = ManagementFactory.getThreadMXBean();
      var table = cell.platform().table();
      return new Counts(
          cell.messageBytes() + table.bytesWritten(),
          cell.messages(),
          table.commits(),
          table.reads(),
          threads.getCurrentThreadCpuTime());
    }
  }

  /**
   * Returns a measure.
   *
   * @param seed the seed of the run
   * @return the measure
   */
  public static ControlMeasure of(long seed) {
    return new ControlMeasure(seed);
  }

  /**
   * Runs cells of several sizes, once idle and once with jobs and eight requests per second at each
   * VM.
   *
   * @return the rows
   */
  public MeasureReport<ControlRow> report() {
    List<ControlRow> rows = new ArrayList<>();
    for (int vms : VMS) {
      rows.add(idle(vms));
      rows.add(load(vms));
    }
    return new MeasureReport<>("control", seed, rows);
  }

  ControlRow idle(int vms) {
    TrialCell cell = TrialCell.of(vms, seed).warmUp();
    Counts before = Counts.of(cell);
    cell.advance(MEASURED_TIME);
    return row(cell, "idle", before);
  }

  ControlRow load(int vms) {
    TrialCell cell = TrialCell.of(vms, seed).warmUp();
    TrialRun run = TrialRun.on(cell);
    Counts before = Counts.of(cell);
    run.work(MEASURED_TIME);
    return row(cell, "load", before);
  }

  private static ControlRow row(TrialCell cell, String load, Counts before) {
    Counts after = Counts.of(cell);
    double seconds = MEASURED_TIME.toSeconds();
    double perVm = seconds * cell.size();
    return new ControlRow(
        cell.size(),
        load,
        (after.bytes() - before.bytes()) / perVm,
        (after.messages() - before.messages()) / perVm,
        (after.writes() - before.writes()) / seconds,
        (after.reads() - before.reads()) / seconds,
        (after.cpuNanos() - before.cpuNanos()) / NANOS_PER_SECOND / perVm);
  }
}
