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
 * A job of a shard. What the journal holds is kept apart from what only this owner knows (where
 * tasks run now), so that a replay gives the same durable state. Not thread-safe.
 */
final class JobEntry {
  /**
   * What is kept of a task besides its phase.
   *
   * @param attempt the last attempt in the journal
   * @param tries how often it was returned to wait
   * @param worker where it ran, may be null
   * @param reason why it is in this phase, may be null
   */
  private record Note(int attempt, int tries, WorkerId worker, String reason) {
    private static final Note NONE = new Note(AttemptNumbers.NONE, 0, null, null);
  }

  /**
   * What this owner knows of an attempt under way.
   *
   * @param attempt the attempt
   * @param phase PLACING or RUNNING
   * @param worker the worker, null while placing
   */
  private record Live(int attempt, TaskPhase phase, WorkerId worker) {}

  private final JobSpec spec;
  private final Instant acceptedAt;
  private final TaskPhase[] phases;
  private final Map<Integer, Note> notes = new HashMap<>();
  private final Map<Integer, Live> live = new HashMap<>();
  private int ended;
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
    return endedAt == null || !live.isEmpty();
  }

  boolean isCancelled() {
    return cancelReason != null;
  }

  boolean isParked() {
    return parkReason != null;
  }

  boolean has(int index) {
    return index < phases.length;
  }

  void startMarked(int index, int attempt) {
    if (phase(index) != TaskPhase.WAITING) {
      return;
    }
    Note note = note(index);
    notes.put(index, new Note(attempt, note.tries(), null, null));
    phases[index] = TaskPhase.PLACING;
  }

  void taskEnded(JournalRecord.TaskEnded end) {
    int index = end.task().index();
    TaskPhase before = phase(index);
    Note note = note(index);
    boolean settled = before.isTerminal() && before != TaskPhase.CANCELLED;
    if (settled || end.attempt() < note.attempt()) {
      return;
    }
    live.remove(index);
    int tries = note.tries() + (end.phase() == TaskPhase.WAITING ? 1 : 0);
    notes.put(index, new Note(end.attempt(), tries, end.worker(), end.reason()));
    boolean stopped = end.phase() == TaskPhase.WAITING && isCancelled();
    setPhase(index, stopped ? TaskPhase.CANCELLED : end.phase(), end.at());
  }

  void cancelled(String reason, Instant at) {
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

  void parked(String reason) {
    if (!isCancelled() && endedAt == null) {
      parkReason = reason;
    }
  }

  void resumed() {
    parkReason = null;
  }

  private void setPhase(int index, TaskPhase phase, Instant at) {
    int change = (phase.isTerminal() ? 1 : 0) - (phase(index).isTerminal() ? 1 : 0);
    phases[index] = phase;
    ended += change;
    if (ended == phases.length && endedAt == null) {
      endedAt = at;
    }
  }

  void underWay(int index, int attempt, TaskPhase phase, WorkerId worker) {
    live.put(index, new Live(attempt, phase, worker));
  }

  void notUnderWay(int index, int attempt) {
    Live known = live.get(index);
    if (known != null && known.attempt() == attempt) {
      live.remove(index);
    }
  }

  TaskPhase phase(int index) {
    return phases[index];
  }

  private Note note(int index) {
    return notes.getOrDefault(index, Note.NONE);
  }

  TaskView taskView(int index) {
    Note note = note(index);
    String reason = note.reason() == null ? "" : note.reason();
    Live known = live.get(index);
    if (known != null) {
      return new TaskView(index, known.phase(), known.attempt(), known.worker(), reason);
    }
    return new TaskView(index, phase(index), note.attempt(), note.worker(), reason);
  }

  int tries(int index) {
    return note(index).tries();
  }

  /** Returns whether the journal says that it may run, and this owner does not know where. */
  boolean isUnresolved(int index) {
    return phase(index) == TaskPhase.PLACING && !live.containsKey(index);
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
      return endPhase(tasks);
    }
    if (isParked()) {
      return JobPhase.PARKED;
    }
    boolean waiting = tasks.stream().allMatch(t -> t.phase() == TaskPhase.WAITING);
    return waiting ? JobPhase.WAITING : JobPhase.RUNNING;
  }

  private JobPhase endPhase(List<TaskView> tasks) {
    if (any(tasks, TaskPhase.FAILED)) {
      return JobPhase.FAILED;
    }
    if (any(tasks, TaskPhase.UNKNOWN)) {
      return JobPhase.UNKNOWN;
    }
    return any(tasks, TaskPhase.CANCELLED) ? JobPhase.CANCELLED : JobPhase.SUCCEEDED;
  }

  private static boolean any(List<TaskView> tasks, TaskPhase phase) {
    return tasks.stream().anyMatch(t -> t.phase() == phase);
  }

  ShardSnapshot.JobRow snapshot() {
    List<ShardSnapshot.TaskRow> rows = new ArrayList<>();
    for (int i = 0; i < phases.length; i++) {
      if (phase(i) != TaskPhase.WAITING || notes.containsKey(i)) {
        Note note = note(i);
        rows.add(
            new ShardSnapshot.TaskRow(
                i, phase(i), note.attempt(), note.tries(), note.worker(), note.reason()));
      }
    }
    return new ShardSnapshot.JobRow(spec, acceptedAt, rows, cancelReason, parkReason, endedAt);
  }

  static JobEntry restore(ShardSnapshot.JobRow row) {
    JobEntry entry = new JobEntry(row.spec(), row.acceptedAt());
    for (ShardSnapshot.TaskRow task : row.tasks()) {
      Note note = new Note(task.attempt(), task.tries(), task.worker(), task.reason());
      if (!note.equals(Note.NONE)) {
        entry.notes.put(task.index(), note);
      }
      entry.setPhase(task.index(), task.phase(), row.endedAt());
    }
    entry.cancelReason = row.cancelReason();
    entry.parkReason = row.parkReason();
    entry.endedAt = row.endedAt();
    return entry;
  }
}
