package org.masticspread.node.job;

import com.codahale.metrics.Meter;
import com.google.common.flogger.FluentLogger;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import org.masticspread.model.id.JobKey;
import org.masticspread.model.id.TaskKey;
import org.masticspread.model.id.WorkerId;
import org.masticspread.model.peer.ReportTasks;
import org.masticspread.model.peer.TasksAcknowledged;
import org.masticspread.model.platform.TaskAttempt;
import org.masticspread.model.platform.WorkerTask;
import org.masticspread.model.work.JobKind;
import org.masticspread.model.work.JobSpec;
import org.masticspread.model.work.JobView;
import org.masticspread.model.work.TaskPhase;
import org.masticspread.model.work.TaskView;
import org.masticspread.node.explain.DecisionLog;
import org.masticspread.state.shard.AttemptNumbers;
import org.masticspread.state.shard.JournalRecord;

/**
 * Takes in ended and lost tasks: makes their end durable and lets those that may run again wait.
 */
final class TaskEnds {
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  private final JobContext context;
  private final TaskStops stops;
  private final Meter ended;
  private final Meter requeued;
  private final Map<TaskAttempt, CompletableFuture<Void>> writing = new ConcurrentHashMap<>();

  TaskEnds(JobContext context, TaskStops stops) {
    this.context = context;
    this.stops = stops;
    this.ended = context.metrics().meter("jobs.tasks.ended");
    this.requeued = context.metrics().meter("jobs.tasks.requeued");
  }

  /** What follows from the end of an attempt. */
  private record Next(TaskPhase phase, String reason) {}

  /** Takes in a report; acknowledges each attempt whose end is durable or no longer matters. */
  CompletionStage<TasksAcknowledged> report(JobShard shard, ReportTasks report) {
    List<TaskAttempt> known = new ArrayList<>();
    List<CompletableFuture<Void>> writes = new ArrayList<>();
    for (WorkerTask task : report.tasks()) {
      TaskAttempt attempt = new TaskAttempt(task.task(), task.attempt());
      CompletableFuture<Void> write =
          end(shard, task, report.worker())
              .thenRun(
                  () -> {
                    synchronized (known) {
                      known.add(attempt);
                    }
                  })
              .toCompletableFuture()
              .exceptionally(thrown -> null);
      writes.add(write);
    }
    return CompletableFuture.allOf(writes.toArray(CompletableFuture[]::new))
        .thenApply(
            all -> {
              synchronized (known) {
                return new TasksAcknowledged(List.copyOf(known));
              }
            });
  }

  /**
   * Makes the end of one attempt durable. Completes at once when it is of no interest; an end that
   * is told again while it is written is not written twice.
   */
  CompletionStage<Void> end(JobShard shard, WorkerTask task, WorkerId worker) {
    Optional<JobView> job = shard.state().job(task.task().job());
    if (job.isEmpty() || isSettled(shard, task)) {
      return CompletableFuture.completedFuture(null);
    }
    TaskAttempt attempt = new TaskAttempt(task.task(), task.attempt());
    CompletableFuture<Void> mine = new CompletableFuture<>();
    CompletableFuture<Void> earlier = writing.putIfAbsent(attempt, mine);
    if (earlier != null) {
      return earlier;
    }
    write(shard, job.get(), task, worker)
        .whenComplete(
            (done, thrown) -> {
              writing.remove(attempt);
              complete(mine, thrown);
            });
    return mine;
  }

  private static void complete(CompletableFuture<Void> stage, Throwable thrown) {
    if (thrown == null) {
      stage.complete(null);
    } else {
      stage.completeExceptionally(thrown);
    }
  }

  private CompletionStage<Void> write(
      JobShard shard, JobView job, WorkerTask task, WorkerId worker) {
    JobSpec spec = job.spec();
    observe(spec, task, worker);
    Next next = next(shard, spec, task);
    Instant now = context.clock().instant();
    JournalRecord record =
        new JournalRecord.TaskEnded(
            task.task(), task.attempt(), next.phase(), worker, next.reason(), now);
    return context
        .journal()
        .append(shard.id(), shard.epoch(), record, now.plus(context.times().hold()))
        .thenRun(() -> after(shard, job, task, next));
  }

  private static boolean isSettled(JobShard shard, WorkerTask task) {
    Optional<TaskView> view = shard.state().task(task.task());
    return view.isEmpty()
        || view.get().phase().isTerminal()
        || view.get().attempt() > task.attempt();
  }

  private void observe(JobSpec spec, WorkerTask task, WorkerId worker) {
    context.estimates().observe(spec, task);
    switch (task.phase()) {
      case SUCCEEDED -> context.trouble().recordSuccess(spec.key(), worker);
      case FAILED -> context.trouble().recordFailure(spec.key(), worker);
      default -> {
        return;
      }
    }
  }

  private Next next(JobShard shard, JobSpec spec, WorkerTask task) {
    boolean cancelled = shard.state().isCancelled(spec.key());
    boolean last = shard.state().requeueCount(task.task()) + 1 >= spec.maxAttempts();
    return switch (task.phase()) {
      case SUCCEEDED -> new Next(TaskPhase.SUCCEEDED, "ended well");
      case FAILED ->
          last || !spec.idempotent() || cancelled
              ? new Next(TaskPhase.FAILED, "failed on its last attempt")
              : new Next(TaskPhase.WAITING, "failed; tried again");
      case STOPPED -> stopped(spec, task, cancelled);
      case LAPSED ->
          spec.idempotent()
              ? new Next(TaskPhase.WAITING, "its lease lapsed")
              : new Next(TaskPhase.UNKNOWN, "its lease lapsed; it must not run twice");
      case RUNNING -> throw new IllegalArgumentException(task.task() + " has not ended");
    };
  }

  private static Next stopped(JobSpec spec, WorkerTask task, boolean cancelled) {
    if (cancelled) {
      return new Next(TaskPhase.CANCELLED, "stopped");
    }
    return spec.idempotent() || task.checkpointed()
        ? new Next(TaskPhase.WAITING, "stopped to make room")
        : new Next(TaskPhase.UNKNOWN, "stopped; it must not run twice");
  }

  private void after(JobShard shard, JobView job, WorkerTask task, Next next) {
    ended.mark();
    shard.forget(task.task(), task.attempt());
    JobSpec spec = job.spec();
    String what = "task " + task.task().index() + " " + next.phase();
    context.decisions().add(DecisionLog.subject(spec.key()), what, next.reason());
    if (next.phase() != TaskPhase.WAITING) {
      context.queue().remove(task.task());
      return;
    }
    if (park(shard, spec.key())) {
      return;
    }
    requeued.mark();
    if (spec.kind() == JobKind.GANG) {
      restartGang(shard, job);
      return;
    }
    requeue(shard, job, task.task(), task.attempt());
  }

  private void requeue(JobShard shard, JobView job, TaskKey task, int lastAttempt) {
    int attempt = AttemptNumbers.next(shard.epoch(), lastAttempt);
    context.queue().add(job.spec(), job.acceptedAt(), task.index(), attempt);
  }

  /** Stops what still runs of a gang; once nothing runs, all its tasks wait together. */
  private void restartGang(JobShard shard, JobView job) {
    JobKey key = job.spec().key();
    if (shard.startGangRestart(key)) {
      stops.stop(shard, shard.placementsOf(key));
    }
    if (!shard.placementsOf(key).isEmpty()) {
      return;
    }
    shard.endGangRestart(key);
    for (TaskView task : shard.state().job(key).map(JobView::tasks).orElse(List.of())) {
      if (task.phase() == TaskPhase.WAITING) {
        requeue(shard, job, new TaskKey(key, task.index()), task.attempt());
      }
    }
  }

  private boolean park(JobShard shard, JobKey job) {
    Optional<String> reason = context.trouble().parkReason(job);
    if (reason.isEmpty()) {
      return false;
    }
    context.queue().cancel(job);
    Instant now = context.clock().instant();
    JournalRecord record = new JournalRecord.JobParked(job, reason.get(), now);
    context
        .journal()
        .append(shard.id(), shard.epoch(), record, now.plus(context.times().hold()))
        .exceptionally(
            thrown -> {
              LOG.atWarning().log("jobs: %s not parked: %s", job, thrown.getMessage());
              return null;
            });
    context.decisions().add(DecisionLog.subject(job), "parked", reason.get());
    return true;
  }
}
