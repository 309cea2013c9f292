package org.masticspread.cell.engine;

import java.time.Duration;
import org.masticspread.model.resource.ResourceVector;

/** One start of a task on one worker, from its booking until it is certainly over. */
final class Run {
  /** What is known about the state of a run. */
  enum Phase {
    /** The start was sent and has no answer yet. */
    STARTING,
    /** The worker has confirmed that it runs. */
    RUNNING,
    /** The start got no answer. */
    UNSURE
  }

  /** Percentage from which progress predicts the run time better than the estimate does. */
  private static final int MIN_PERCENT_FOR_ESTIMATE = 15;

  /** Run time that shows that a worker works; a faulty one fails or stalls a run sooner. */
  private static final Duration MIN_PROVEN_TIME = Duration.ofSeconds(1);

  /** Minimum expected remaining time in ms, also of a run that is being stopped. */
  private static final long MIN_REMAINING_MILLIS = 30;

  /** The remaining time of an overdue run is estimated as its age divided by this. */
  private static final long OVERDUE_DIVISOR = 8;

  final String taskName;
  final long number;
  final Worker worker;
  final ResourceVector booked;

  /** The task; null for a run that belongs to no open task. */
  final Task task;

  /** The team that it counts for; empty for none or while unknown. */
  String team = "";

  /** What it counts against the cap of its team. */
  ResourceVector teamDemand = ResourceVector.ZERO;

  Phase phase = Phase.STARTING;
  long startedAtMillis;

  /** When the phase began. */
  long phaseSinceMillis;

  /** When the worker refuses the start as too late, on the worker's clock. */
  long startDeadlineMillis;

  /** The generation of the worker for which the start was sent, or that listed it. */
  long generation;

  /** The incarnation that listed it as running; 0 if none did. */
  long listedIncarnation;

  /** The expected run time; 0 if unknown. */
  long expectedMillis;

  /** Whether an earlier leader started the run, so that its start time is unknown. */
  boolean adopted;

  int percent;

  /** When the percentage last changed. */
  long lastProgressMillis;

  boolean stopRequested;
  boolean stopInFlight;

  /** When the worker confirmed the stop; negative before that. */
  long stopConfirmedMillis = -1;

  Run(String taskName, long number, Worker worker, ResourceVector booked, Task task) {
    this.taskName = taskName;
    this.number = number;
    this.worker = worker;
    this.booked = booked;
    this.task = task;
  }

  /** Returns the id of its job, which is the first part of the name of the task. */
  String jobId() {
    int end = taskName.indexOf('.');
    return end < 0 ? taskName : taskName.substring(0, end);
  }

  /** Returns whether the worker has run it for a while and made progress. */
  boolean proven(long nowMillis) {
    return phase == Phase.RUNNING
        && !stopRequested
        && percent > 0
        && nowMillis - startedAtMillis >= MIN_PROVEN_TIME.toMillis();
  }

  /** Returns the expected end, by the progress if that is a better predictor than the estimate. */
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
