package org.masticspread.cell.engine;

import java.time.Duration;
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

  /** From here on progress says more about the run time than the estimate does. */
  private static final int MIN_PERCENT_FOR_ESTIMATE = 15;

  /** A worker in trouble fails or halts a run sooner than this. */
  private static final Duration MIN_PROVEN_TIME = Duration.ofSeconds(1);

  /** A stopped run, or one that should have ended, is over about this much later, in ms. */
  private static final long MIN_REMAINING_MILLIS = 30;

  /** A run that takes longer than expected is taken to need this part of its age still. */
  private static final long OVERDUE_DIVISOR = 8;

  final String taskName;
  final long number;
  final Worker worker;
  final ResourceVector booked;

  /** The task; null for a run that belongs to no open task. */
  final Task task;

  Phase phase = Phase.STARTING;
  long startedAtMillis;

  /** When the phase began. */
  long phaseSinceMillis;

  /** When its start is refused as too late, on the worker's clock. */
  long startDeadlineMillis;

  /** How long it is expected to take; 0 if nothing is known. */
  long expectedMillis;

  /** Whether an earlier leader started it, so that its begin is not known. */
  boolean adopted;

  int percent;

  /** When the percentage last rose. */
  long lastProgressMillis;

  boolean stopRequested;
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

  /** Tells whether its worker has made progress with it for a while. */
  boolean proven(long nowMillis) {
    return phase == Phase.RUNNING
        && !stopRequested
        && percent > 0
        && nowMillis - startedAtMillis >= MIN_PROVEN_TIME.toMillis();
  }

  /** Returns when it will be over, by its progress as far as that says anything. */
  long expectedEndMillis(long nowMillis) {
    if (stopRequested) {
      return nowMillis + MIN_REMAINING_MILLIS;
    }
    long expectedTotal = expectedMillis;
    if (percent >= MIN_PERCENT_FOR_ESTIMATE && !adopted) {
      expectedTotal = (lastProgressMillis - startedAtMillis) * 100 / percent;
    }
    long remaining = startedAtMillis + expectedTotal - nowMillis;
    long overdue = (nowMillis - startedAtMillis) / OVERDUE_DIVISOR;
    return nowMillis + Math.max(MIN_REMAINING_MILLIS, remaining > 0 ? remaining : overdue);
  }

  void enterPhase(Phase next, long nowMillis) {
    phase = next;
    phaseSinceMillis = nowMillis;
    if (next == Phase.RUNNING) {
      lastProgressMillis = nowMillis;
    }
  }
}
