package org.masticspread.cell.engine;

import java.util.Set;
import java.util.TreeSet;

/** One task of a step. Confined to the cell's thread. */
final class Task {
  final Step step;
  final int index;
  final String name;

  /** The numbers of the failed runs. */
  final Set<Long> failedRuns = new TreeSet<>();

  boolean succeeded;
  String checkpoint = "";
  long lastRun;

  private Run run;

  Task(Step step, int index) {
    this.step = step;
    this.index = index;
    this.name = step.name + "." + index;
  }

  /** Returns the run that may be active, or null if there is certainly none. */
  Run run() {
    return run;
  }

  /** Sets the run that may be active; null when it is certainly over. */
  void run(Run next) {
    step.runChanged(this, run != null, next != null);
    run = next;
  }

  boolean waiting() {
    return !succeeded && run == null;
  }
}
