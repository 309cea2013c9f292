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

/** Handles ended and lost tasks: makes their end durable and queues those that may run again. */
final class TaskEndHandler {
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  private final JobContext context;
  private final TaskStopper stopper;
  private final Meter ended;
  private final Meter requeued;
  private final Map<TaskAttempt, CompletableFuture<Void>> writesInFlight =
      new ConcurrentHashMap<>();

  TaskEndHandler(JobContext context, TaskStopper stopper) {
    this.context = context;
    this.stopper = stopper;
    this.ended = context.metrics().meter("jobs.tasks.ended");
    this.requeued = context.metrics().meter("jobs.tasks.requeued");
  }

  /** Phase of a task after the end of an attempt, with the reason. */
  private record NextPhase(TaskPhase phase, String reason) {}

  /** Handles a report; acknowledges each attempt whose end is durable or no longer relevant. */
  CompletionStage<TasksAcknowledged> report(JobShard shard, ReportTasks report) {
    List<TaskAttempt> acknowledged = new ArrayList<>();
    List<CompletableFuture<Void>> writes = new ArrayList<>();
    for (WorkerTask task : report.tasks()) {
      TaskAttempt attempt = new TaskAttempt(task.task(), task.attempt());
      CompletableFuture<Void> write =
          end(shard, task, report.worker())
              .thenRun(
                  () -> {
                    synchronized (acknowledged) {
                      acknowledged.add(attempt);
                    }
                  })
              .toCompletableFuture()
              .exceptionally(thrown -> null);
      writes.add(write);
    }
    return CompletableFuture.allOf(writes.toArray(CompletableFuture[]::new))
        .thenApply(
            all -> {
              synchronized (acknowledged) {
                return new TasksAcknowledged(List.copyOf(acknowledged));
              }
            });
  }

  /**
   * Makes the end of one attempt durable. Completes at once when the end is no longer relevant. An
   * end that is reported again while it is being written is not written twice.
   */
  CompletionStage<Void> end(JobShard shard, WorkerTask task, WorkerId worker) {
    Optional<JobView> job = shard.state().job(task.task().job());
    if (job.isEmpty() || isIrrelevant(shard, task)) {
      return CompletableFuture.completedFuture(null);
    }
    TaskAttempt attempt = new TaskAttempt(task.task(), task.attempt());
    CompletableFuture<Void> result = new CompletableFuture<>();
    CompletableFuture<Void> earlier = writesInFlight.putIfAbsent(attempt, result);
    if (earlier != null) {
      return earlier;
    }
    write(shard, job.get(), task, worker)
        .whenComplete(
            (done, thrown) -> {
              writesInFlight.remove(attempt);
              complete(result, thrown);
            });
    return result;
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
    recordObservation(spec, task, worker);
    NextPhase next = nextPhase(shard, spec, task);
    Instant now = context.clock().instant();
    JournalRecord record =
        new JournalRecord.TaskEnded(
            task.task(), task.attempt(), next.phase(), worker, next.reason(), now);
    return context
        .journal()
        .append(shard.id(), shard.epoch(), record, now.plus(context.times().appendTimeout()))
        .thenRun(() -> applyEnd(shard, job, task, next));
  }

  private static boolean isIrrelevant(JobShard shard, WorkerTask task) {
    Optional<TaskView> view = shard.state().task(task.task());
    return view.isEmpty()
        || view.get().phase().isTerminal()
        || view.get().attempt() > task.attempt();
  }

  private void recordObservation(JobSpec spec, WorkerTask task, WorkerId worker) {
    context.estimates().observe(spec, task);
    switch (task.phase()) {
      case SUCCEEDED -> context.health().recordSuccess(spec.key(), worker);
      case FAILED -> context.health().recordFailure(spec.key(), worker);
      default -> {
        return;
      }
    }
  }

  private NextPhase nextPhase(JobShard shard, JobSpec spec, WorkerTask task) {
    boolean cancelled = shard.state().isCancelled(spec.key());
    boolean lastAttempt = shard.state().requeueCount(task.task()) + 1 >= spec.maxAttempts();
    return switch (task.phase()) {
      case SUCCEEDED -> new NextPhase(TaskPhase.SUCCEEDED, "ended well");
      case FAILED ->
          lastAttempt || !spec.idempotent() || cancelled
              ? new NextPhase(TaskPhase.FAILED, "failed on its last attempt")
              : new NextPhase(TaskPhase.WAITING, "failed; tried again");
      case STOPPED -> phaseAfterStop(spec, task, cancelled);
      case LAPSED ->
          spec.idempotent()
              ? new NextPhase(TaskPhase.WAITING, "its lease lapsed")
              : new NextPhase(TaskPhase.UNKNOWN, "its lease lapsed; it must not run twice");
      case RUNNING -> throw new IllegalArgumentException(task.task() + " has not ended");
    };
  }

  private static NextPhase phaseAfterStop(JobSpec spec, WorkerTask task, boolean cancelled) {
    if (cancelled) {
      return new NextPhase(TaskPhase.CANCELLED, "stopped");
    }
    return spec.idempotent() || task.checkpointed()
        ? new NextPhase(TaskPhase.WAITING, "stopped to make room")
        : new NextPhase(TaskPhase.UNKNOWN, "stopped; it must not run twice");
  }

  private void applyEnd(JobShard shard, JobView job, WorkerTask task, NextPhase next) {
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

  /** Stops the running tasks of a gang; once none runs, queues all its tasks together. */
  private void restartGang(JobShard shard, JobView job) {
    JobKey key = job.spec().key();
    if (shard.startGangRestart(key)) {
      stopper.stop(shard, shard.placementsOf(key));
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
    Optional<String> reason = context.health().parkReason(job);
    if (reason.isEmpty()) {
      return false;
    }
    context.queue().cancel(job);
    Instant now = context.clock().instant();
    JournalRecord record = new JournalRecord.JobParked(job, reason.get(), now);
    context
        .journal()
        .append(shard.id(), shard.epoch(), record, now.plus(context.times().appendTimeout()))
        .exceptionally(
            thrown -> {
              LOG.atWarning().log(
                  "jobs: parking of %s is not durable: %s", job, thrown.getMessage());
              return null;
            });
    context.decisions().add(DecisionLog.subject(job), "parked", reason.get());
    return true;
  }
}
