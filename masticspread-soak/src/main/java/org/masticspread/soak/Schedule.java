package org.masticspread.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** The faults and recoveries that are due at steps of a run. Used by one thread. */
final class Schedule {
  private final List<Entry> entries = new ArrayList<>();

  /** Injects or ends a fault. */
  @FunctionalInterface
  interface Action {
    void run() throws IOException, InterruptedException;
  }

  private record Entry(int step, boolean recovery, Action action) {}

  /** Plans a fault, which is left out if the run ends before. */
  void fault(int step, Action action) {
    entries.add(new Entry(step, false, action));
  }

  /** Plans the end of a fault, at the end of the run at the latest. */
  void recovery(int step, Action action) {
    entries.add(new Entry(step, true, action));
  }

  /** Runs what is due, in the order in which it was planned. */
  void run(int step) throws IOException, InterruptedException {
    for (Entry entry : List.copyOf(entries)) {
      if (entry.step <= step) {
        entries.remove(entry);
        entry.action.run();
      }
    }
  }

  /** Runs all recoveries and drops all faults. */
  void recoverAll() throws IOException, InterruptedException {
    entries.removeIf(entry -> !entry.recovery);
    run(Integer.MAX_VALUE);
  }
}
