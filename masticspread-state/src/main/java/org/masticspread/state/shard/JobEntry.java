package org.masticspread.state.shard;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.masticspread.model.id.WorkerId;
import org.masticspread.model.work.JobPhase;
import org.masticspread.model.work.JobSpec;
import org.masticspread.model.work.JobView;
import org.masticspread.model.work.TaskPhase;
import org.masticspread.model.work.TaskView;

/**
 * A job of a shard. Durable state, which is in the journal, is kept apart from the active attempts,
 * which only this owner knows, so that a replay gives the same durable state. Not thread-safe.
 */
final class JobEntry {
  /**
   * The durable state of a task besides its phase.
   *
   * @param attempt the last attempt in the journal
   * @param requeues how often the task was returned to WAITING
   * @param worker the worker that ran the attempt, may be null
   * @param reason the reason for the phase, may be null
   */
  private record TaskDetails(int attempt, int requeues, WorkerId worker, String reason) {
    private static final TaskDetails NONE = new TaskDetails(AttemptNumbers.NONE, 0, null, null);
  }

  /**
   * An attempt that is being placed or runs; not durable.
   *
   * @param attempt the attempt
   * @param phase PLACING or RUNNING
   * @param worker the worker, null while placing
   */
  private record ActiveAttempt(int attempt, TaskPhase phase, WorkerId worker) {}

  private final JobSpec spec;
  private final Instant acceptedAt;
  private final TaskPhase[] phases;
  private final Map<Integer, TaskDetails> detailsByTask = new HashMap<>();
  private final Map<Integer, ActiveAttempt> activeAttempts = new HashMap<>();
  private int endedTasks;
  private String cancelReason;
  private String parkReason;
  private Instant endedAt;

  JobEntry(JobSpec spec, Instant acceptedAt) {
    this.spec = spec;
    this.acceptedAt = acceptedAt;
    this.phases = new TaskPhase[spec.tasks()];
    Arrays.fill(phases, TaskPhase.WAITING);
  }

  JobSpec spec() {
    return spec;
  }

  Instant endedAt() {
    return endedAt;
  }

  boolean isActive() {
    return endedAt == null || !activeAttempts.isEmpty();
  }

  boolean isCancelled() {
    return cancelReason != null;
  }

  boolean isParked() {
    return parkReason != null;
  }

  boolean hasTask(int index) {
    return index < phases.length;
  }

  void markStarted(int index, int attempt) {
    if (phase(index) != TaskPhase.WAITING) {
      return;
    }
    TaskDetails details = details(index);
    detailsByTask.put(index, new TaskDetails(attempt, details.requeues(), null, null));
    phases[index] = TaskPhase.PLACING;
  }

  void endTask(JournalRecord.TaskEnded end) {
    int index = end.task().index();
    TaskPhase before = phase(index);
    TaskDetails details = details(index);
    boolean alreadyFinal = before.isTerminal() && before != TaskPhase.CANCELLED;
    if (alreadyFinal || end.attempt() < details.attempt()) {
      return;
    }
    activeAttempts.remove(index);
    int requeues = details.requeues() + (end.phase() == TaskPhase.WAITING ? 1 : 0);
    detailsByTask.put(index, new TaskDetails(end.attempt(), requeues, end.worker(), end.reason()));
    boolean stopped = end.phase() == TaskPhase.WAITING && isCancelled();
    setPhase(index, stopped ? TaskPhase.CANCELLED : end.phase(), end.at());
  }

  void cancel(String reason, Instant at) {
    if (isCancelled() || endedAt != null) {
      return;
    }
    cancelReason = reason;
    parkReason = null;
    for (int i = 0; i < phases.length; i++) {
      if (phase(i) == TaskPhase.WAITING) {
        setPhase(i, TaskPhase.CANCELLED, at);
      }
    }
  }

  void park(String reason) {
    if (!isCancelled() && endedAt == null) {
      parkReason = reason;
    }
  }

  void resume() {
    parkReason = null;
  }

  private void setPhase(int index, TaskPhase phase, Instant at) {
    int change = (phase.isTerminal() ? 1 : 0) - (phase(index).isTerminal() ? 1 : 0);
    phases[index] = phase;
    endedTasks += change;
    if (endedTasks == phases.length && endedAt == null) {
      endedAt = at;
    }
  }

  void recordActiveAttempt(int index, int attempt, TaskPhase phase, WorkerId worker) {
    activeAttempts.put(index, new ActiveAttempt(attempt, phase, worker));
  }

  void clearActiveAttempt(int index, int attempt) {
    ActiveAttempt active = activeAttempts.get(index);
    if (active != null && active.attempt() == attempt) {
      activeAttempts.remove(index);
    }
  }

  TaskPhase phase(int index) {
    return phases[index];
  }

  private TaskDetails details(int index) {
    return detailsByTask.getOrDefault(index, TaskDetails.NONE);
  }

  TaskView taskView(int index) {
    TaskDetails details = details(index);
    String reason = details.reason() == null ? "" : details.reason();
    ActiveAttempt active = activeAttempts.get(index);
    if (active != null) {
      return new TaskView(index, active.phase(), active.attempt(), active.worker(), reason);
    }
    return new TaskView(index, phase(index), details.attempt(), details.worker(), reason);
  }

  int requeueCount(int index) {
    return details(index).requeues();
  }

  /**
   * Returns whether the task is marked as started in the journal but this owner knows no active
   * attempt.
   */
  boolean isUnresolved(int index) {
    return phase(index) == TaskPhase.PLACING && !activeAttempts.containsKey(index);
  }

  int tasks() {
    return phases.length;
  }

  JobView view() {
    List<TaskView> tasks = new ArrayList<>(phases.length);
    for (int i = 0; i < phases.length; i++) {
      tasks.add(taskView(i));
    }
    return new JobView(spec, jobPhase(tasks), acceptedAt, tasks, reason());
  }

  private String reason() {
    if (cancelReason != null) {
      return cancelReason;
    }
    return parkReason == null ? "" : parkReason;
  }

  private JobPhase jobPhase(List<TaskView> tasks) {
    boolean allEnded = tasks.stream().allMatch(t -> t.phase().isTerminal());
    if (allEnded) {
      return terminalPhase(tasks);
    }
    if (isParked()) {
      return JobPhase.PARKED;
    }
    boolean waiting = tasks.stream().allMatch(t -> t.phase() == TaskPhase.WAITING);
    return waiting ? JobPhase.WAITING : JobPhase.RUNNING;
  }

  private JobPhase terminalPhase(List<TaskView> tasks) {
    if (anyIn(tasks, TaskPhase.FAILED)) {
      return JobPhase.FAILED;
    }
    if (anyIn(tasks, TaskPhase.UNKNOWN)) {
      return JobPhase.UNKNOWN;
    }
    return anyIn(tasks, TaskPhase.CANCELLED) ? JobPhase.CANCELLED : JobPhase.SUCCEEDED;
  }

  private static boolean anyIn(List<TaskView> tasks, TaskPhase phase) {
    return tasks.stream().anyMatch(t -> t.phase() == phase);
  }

  ShardSnapshot.JobRow snapshot() {
    List<ShardSnapshot.TaskRow> rows = new ArrayList<>();
    for (int i = 0; i < phases.length; i++) {
      if (phase(i) != TaskPhase.WAITING || detailsByTask.containsKey(i)) {
        TaskDetails details = details(i);
        rows.add(
            new ShardSnapshot.TaskRow(
                i,
                phase(i),
                details.attempt(),
                details.requeues(),
                details.worker(),
                details.reason()));
      }
    }
    return new ShardSnapshot.JobRow(spec, acceptedAt, rows, cancelReason, parkReason, endedAt);
  }

  static JobEntry restore(ShardSnapshot.JobRow row) {
    JobEntry entry = new JobEntry(row.spec(), row.acceptedAt());
    for (ShardSnapshot.TaskRow task : row.tasks()) {
      TaskDetails details =
          new TaskDetails(task.attempt(), task.tries(), task.worker(), task.reason());
      if (!details.equals(TaskDetails.NONE)) {
        entry.detailsByTask.put(task.index(), details);
      }
      entry.setPhase(task.index(), task.phase(), row.endedAt());
    }
    entry.cancelReason = row.cancelReason();
    entry.parkReason = row.parkReason();
    entry.endedAt = row.endedAt();
    return entry;
  }
}
