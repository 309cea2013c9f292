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
  private static final int TELLING_PERCENT = 15;

  /** A worker in trouble fails or halts a run sooner than this. */
  private static final Duration PROVEN = Duration.ofSeconds(1);

  /** A stopped run, or one that should have ended, is over about this much later, in ms. */
  private static final long SOON_MILLIS = 30;

  /** A run that takes longer than expected is taken to need this part of its age still. */
  private static final long OVERDUE_SHARE = 8;

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

  /** When its start is refused as too late, on the worker's clock. */
  long startUntilMillis;

  /** How long it is expected to take; 0 if nothing is known. */
  long expectedMillis;

  /** Whether an earlier leader started it, so that its begin is not known. */
  boolean adopted;

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

  /** Tells whether its worker has made progress with it for a while. */
  boolean proven(long nowMillis) {
    return phase == Phase.RUNNING
        && !stopWanted
        && percent > 0
        && nowMillis - startedAtMillis >= PROVEN.toMillis();
  }

  /** Returns when it will be over, by its progress as far as that says anything. */
  long expectedEndMillis(long nowMillis) {
    if (stopWanted) {
      return nowMillis + SOON_MILLIS;
    }
    long total = expectedMillis;
    if (percent >= TELLING_PERCENT && !adopted) {
      total = (progressAtMillis - startedAtMillis) * 100 / percent;
    }
    long left = startedAtMillis + total - nowMillis;
    long overdue = (nowMillis - startedAtMillis) / OVERDUE_SHARE;
    return nowMillis + Math.max(SOON_MILLIS, left > 0 ? left : overdue);
  }

  void enter(Phase next, long nowMillis) {
    phase = next;
    sinceMillis = nowMillis;
    if (next == Phase.RUNNING) {
      progressAtMillis = nowMillis;
    }
  }
}
