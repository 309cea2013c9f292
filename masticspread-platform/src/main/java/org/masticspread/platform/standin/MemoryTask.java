package org.masticspread.platform.standin;

import java.time.Duration;
import java.time.Instant;
import org.masticspread.model.id.WorkerId;
import org.masticspread.model.platform.StartTask;
import org.masticspread.model.platform.TaskAttempt;
import org.masticspread.model.platform.TaskOrder;
import org.masticspread.model.platform.WorkerTask;
import org.masticspread.model.platform.WorkerTaskPhase;
import org.masticspread.model.resource.ResourceVector;

/** A task on an in-memory worker. All methods must be called with the lock of the worker held. */
final class MemoryTask {
  private static final int THROTTLE_FACTOR = 2;

  private final StartTask start;
  private final TaskPlan plan;
  private final Instant started;
  private final Duration usageLag;
  private Instant leaseUntil;
  private Instant updated;
  private Instant usageChanged;
  private Instant ended;
  private Duration progress = Duration.ZERO;
  private ResourceVector previousUsage = ResourceVector.ZERO;
  private boolean throttled;
  private boolean checkpointed;
  private WorkerTaskPhase phase = WorkerTaskPhase.RUNNING;

  MemoryTask(StartTask start, TaskPlan plan, Instant now, Duration usageLag) {
    this.start = start;
    this.plan = plan;
    this.usageLag = usageLag;
    this.started = now;
    this.updated = now;
    this.usageChanged = now;
    this.leaseUntil = start.leaseUntil();
  }

  TaskAttempt attempt() {
    return new TaskAttempt(start.task(), start.attempt());
  }

  ResourceVector size() {
    return start.size();
  }

  boolean isRunning() {
    return phase == WorkerTaskPhase.RUNNING;
  }

  /** Advances the task to an instant, by which it may complete or its lease may expire. */
  void advance(Instant now) {
    if (!isRunning()) {
      return;
    }
    Instant end = expectedEnd();
    if (!end.isAfter(now) && !end.isAfter(leaseUntil)) {
      end(end, plan.succeeds() ? WorkerTaskPhase.SUCCEEDED : WorkerTaskPhase.FAILED);
      return;
    }
    if (!leaseUntil.isAfter(now)) {
      end(leaseUntil, WorkerTaskPhase.LAPSED);
      return;
    }
    updateProgress(now);
  }

  void renew(Instant until) {
    if (isRunning() && until.isAfter(leaseUntil)) {
      leaseUntil = until;
    }
  }

  void apply(TaskOrder order, Instant now) {
    if (!isRunning()) {
      return;
    }
    switch (order) {
      case STOP -> end(now, WorkerTaskPhase.STOPPED);
      case CHECKPOINT -> {
        checkpointed = true;
        end(now, WorkerTaskPhase.STOPPED);
      }
      case THROTTLE -> throttle(true, now);
      default -> throttle(false, now);
    }
  }

  WorkerTask report(Instant now) {
    return new WorkerTask(
        start.task(),
        start.attempt(),
        start.workShard(),
        phase,
        start.size(),
        reportedUsage(now),
        Duration.between(started, ended == null ? now : ended),
        throttled,
        checkpointed);
  }

  TaskRun run(WorkerId worker) {
    return new TaskRun(worker, attempt(), started, ended, phase);
  }

  /** Fails the task because its worker died. */
  void failWithWorker(Instant now) {
    if (isRunning()) {
      end(now, WorkerTaskPhase.FAILED);
    }
  }

  private Instant expectedEnd() {
    if (plan.runFor() == null) {
      return Instant.MAX;
    }
    Duration remaining = plan.runFor().minus(progress);
    return updated.plus(throttled ? remaining.multipliedBy(THROTTLE_FACTOR) : remaining);
  }

  private void updateProgress(Instant now) {
    Duration elapsed = Duration.between(updated, now);
    if (elapsed.isNegative()) {
      return;
    }
    progress = progress.plus(throttled ? elapsed.dividedBy(THROTTLE_FACTOR) : elapsed);
    updated = now;
  }

  private void end(Instant at, WorkerTaskPhase newPhase) {
    updateProgress(at);
    ended = at;
    phase = newPhase;
  }

  private void throttle(boolean on, Instant now) {
    if (throttled == on) {
      return;
    }
    previousUsage = reportedUsage(now);
    usageChanged = now;
    throttled = on;
  }

  private ResourceVector reportedUsage(Instant now) {
    boolean lagPassed = !usageChanged.plus(usageLag).isAfter(now);
    return lagPassed ? usage() : previousUsage;
  }

  private ResourceVector usage() {
    if (!throttled) {
      return plan.usage();
    }
    ResourceVector fullUsage = plan.usage();
    return new ResourceVector(
        fullUsage.millicores() / THROTTLE_FACTOR,
        fullUsage.memoryBytes(),
        fullUsage.accelerators());
  }
}
