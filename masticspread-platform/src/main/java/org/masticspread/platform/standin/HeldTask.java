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

/** A task on a worker. The lock of its worker is held in each method. */
final class HeldTask {
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
  private ResourceVector formerUsage = ResourceVector.ZERO;
  private boolean throttled;
  private boolean checkpointed;
  private WorkerTaskPhase phase = WorkerTaskPhase.RUNNING;

  HeldTask(StartTask start, TaskPlan plan, Instant now, Duration usageLag) {
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

  /** Moves the task on to an instant: it may end by itself or by its lease. */
  void advance(Instant now) {
    if (!isRunning()) {
      return;
    }
    Instant end = endsAt();
    if (!end.isAfter(now) && !end.isAfter(leaseUntil)) {
      end(end, plan.succeeds() ? WorkerTaskPhase.SUCCEEDED : WorkerTaskPhase.FAILED);
      return;
    }
    if (!leaseUntil.isAfter(now)) {
      end(leaseUntil, WorkerTaskPhase.LAPSED);
      return;
    }
    proceed(now);
  }

  void renew(Instant until) {
    if (isRunning() && until.isAfter(leaseUntil)) {
      leaseUntil = until;
    }
  }

  void obey(TaskOrder order, Instant now) {
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
        seenUsage(now),
        Duration.between(started, ended == null ? now : ended),
        throttled,
        checkpointed);
  }

  TaskRun run(WorkerId worker) {
    return new TaskRun(worker, attempt(), started, ended, phase);
  }

  /** Ends the task because its worker died. */
  void die(Instant now) {
    if (isRunning()) {
      end(now, WorkerTaskPhase.FAILED);
    }
  }

  private Instant endsAt() {
    if (plan.runFor() == null) {
      return Instant.MAX;
    }
    Duration left = plan.runFor().minus(progress);
    return updated.plus(throttled ? left.multipliedBy(THROTTLE_FACTOR) : left);
  }

  private void proceed(Instant now) {
    Duration passed = Duration.between(updated, now);
    if (passed.isNegative()) {
      return;
    }
    progress = progress.plus(throttled ? passed.dividedBy(THROTTLE_FACTOR) : passed);
    updated = now;
  }

  private void end(Instant at, WorkerTaskPhase newPhase) {
    proceed(at);
    ended = at;
    phase = newPhase;
  }

  private void throttle(boolean on, Instant now) {
    if (throttled == on) {
      return;
    }
    formerUsage = seenUsage(now);
    usageChanged = now;
    throttled = on;
  }

  private ResourceVector seenUsage(Instant now) {
    boolean seen = !usageChanged.plus(usageLag).isAfter(now);
    return seen ? usage() : formerUsage;
  }

  private ResourceVector usage() {
    if (!throttled) {
      return plan.usage();
    }
    ResourceVector full = plan.usage();
    return new ResourceVector(
        full.millicores() / THROTTLE_FACTOR, full.memoryBytes(), full.accelerators());
  }
}
