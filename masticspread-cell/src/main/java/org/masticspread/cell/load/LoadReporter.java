package org.masticspread.cell.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.masticspread.cell.log.EventLog;
import org.masticspread.cell.port.Timers;

/** Tells in the log, now and then, what leading costs a VM. */
public final class LoadReporter {
  private static final Duration EVERY = Duration.ofSeconds(5);

  /** The largest kinds tell nearly all. */
  private static final int MOST_KINDS = 8;

  private final LoadMeter meter;
  private final Timers timers;
  private final EventLog log;
  private final String vm;
  private final BooleanSupplier wanted;

  /**
   * Creates a report.
   *
   * @param meter counts the load
   * @param timers schedules the reports
   * @param log gets the reports
   * @param vm the VM
   * @param wanted whether to tell it, as while the VM leads
   */
  public LoadReporter(
      LoadMeter meter, Timers timers, EventLog log, String vm, BooleanSupplier wanted) {
    this.meter = meter;
    this.timers = timers;
    this.log = log;
    this.vm = vm;
    this.wanted = wanted;
  }

  /** Starts to report. */
  public void start() {
    timers.after(EVERY, this::report);
  }

  private void report() {
    List<Object> facts = new ArrayList<>();
    facts.add("overMs");
    facts.add(EVERY.toMillis());
    add(facts, "bytes.out.", "out");
    add(facts, "bytes.in.", "in");
    add(facts, "busy.us.", "busyUs");
    if (wanted.getAsBoolean()) {
      log.event("vm-load", vm, facts.toArray());
    }
    start();
  }

  private void add(List<Object> facts, String prefix, String name) {
    Map<String, Long> counted = meter.since(prefix);
    facts.add(name);
    facts.add(counted.values().stream().mapToLong(Long::longValue).sum());
    counted.entrySet().stream()
        .limit(MOST_KINDS)
        .forEach(
            kind -> {
              facts.add(name + "." + kind.getKey());
              facts.add(kind.getValue());
            });
  }
}
