package org.masticspread.cell.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.masticspread.cell.log.EventLog;
import org.masticspread.cell.port.Timers;

/** A reporter that periodically logs the load that leading causes on a VM. */
public final class LoadReporter {
  private static final Duration INTERVAL = Duration.ofSeconds(5);

  /** Maximum number of kinds to log; the largest ones account for nearly all of the load. */
  private static final int MAX_KINDS = 8;

  private final LoadMeter meter;
  private final Timers timers;
  private final EventLog log;
  private final String vm;
  private final BooleanSupplier enabled;

  /**
   * Creates a reporter.
   *
   * @param meter the meter to report
   * @param timers schedules the reports
   * @param log the log to write to
   * @param vm the id of the VM
   * @param enabled whether to log, for example only while the VM leads
   */
  public LoadReporter(
      LoadMeter meter, Timers timers, EventLog log, String vm, BooleanSupplier enabled) {
    this.meter = meter;
    this.timers = timers;
    this.log = log;
    this.vm = vm;
    this.enabled = enabled;
  }

  /** Starts reporting. */
  public void start() {
    timers.after(INTERVAL, this::report);
  }

  private void report() {
    List<Object> fields = new ArrayList<>();
    fields.add("overMs");
    fields.add(INTERVAL.toMillis());
    add(fields, "bytes.out.", "out");
    add(fields, "bytes.in.", "in");
    add(fields, "busy.us.", "busyUs");
    if (enabled.getAsBoolean()) {
      log.event("vm-load", vm, fields.toArray());
    }
    start();
  }

  private void add(List<Object> fields, String prefix, String name) {
    Map<String, Long> counted = meter.countsSinceLastCall(prefix);
    fields.add(name);
    fields.add(counted.values().stream().mapToLong(Long::longValue).sum());
    counted.entrySet().stream()
        .limit(MAX_KINDS)
        .forEach(
            entry -> {
              fields.add(name + "." + entry.getKey());
              fields.add(entry.getValue());
            });
  }
}
