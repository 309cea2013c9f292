package org.masticspread.cell.engine;

import org.masticspread.model.resource.ResourceVector;

/** One start of a task on one worker, from its booking until it is certainly over. */
final class Run {
  /** What is known of a run. */
  enum Phase {
    /** The start was sent and has no answer yet. */
    STARTING,
    /** The worker runs it. */
    RUNNING,
    /** The start got no answer. */
    UNSURE
  }

  final String taskName;
  final long number;
  final Worker worker;
  final ResourceVector booked;

  /** The task; null for a run that belongs to no open task. */
  final Task task;

  Phase phase = Phase.STARTING;
  long startedAtMillis;

  /** When the phase began. */
  long sinceMillis;

  int percent;

  /** When the percentage last rose. */
  long progressAtMillis;

  boolean stopWanted;
  boolean stopInFlight;

  /** When the worker confirmed the stop; negative before. */
  long stopConfirmedMillis = -1;

  Run(String taskName, long number, Worker worker, ResourceVector booked, Task task) {
    this.taskName = taskName;
    this.number = number;
    this.worker = worker;
    this.booked = booked;
    this.task = task;
  }

  void enter(Phase next, long nowMillis) {
    phase = next;
    sinceMillis = nowMillis;
    if (next == Phase.RUNNING) {
      progressAtMillis = nowMillis;
    }
  }
}
