package org.masticspread.cell.engine;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.masticspread.cell.journal.ProgressRecord.Checkpoint;
import org.masticspread.cell.journal.ProgressRecord.Failures;
import org.masticspread.cell.journal.ProgressRecord.StepRecord;
import org.masticspread.model.cell.StepSpec;

/** One step of one occurrence of a job. Confined to the cell. */
final class Step {
  final Job job;
  final int occurrence;
  final int number;
  final StepSpec spec;
  final String name;
  final List<Task> tasks = new ArrayList<>();
  final Map<String, Approval> approvals = new HashMap<>();
  int succeeded;

  /** The runs of the gang that failed. */
  final Set<Long> failedGangRuns = new TreeSet<>();

  /** Calls for advice on further workers on their way. */
  int approvalCalls;

  /** Calls for the tickets of a plan on their way. */
  int ticketCalls;

  /** The workers whose room a gang keeps while it asks for their tickets, and since when. */
  List<Worker> claimedWorkers = List.of();

  long claimedSinceMillis;

  long nextAdviceMillis;

  /** The latest start that meets the objective, and when it was worked out; negative before. */
  long latestStartMillis;

  long latestStartComputedMillis = -1;

  /** Since when only some members of the gang have a run; negative if all or none have. */
  long incompleteSinceMillis = -1;

  /** The workers that a gang waits for. */
  List<Worker> plannedWorkers = List.of();

  /** Since when the gang has had a plan; negative before. */
  long plannedSinceMillis = -1;

  /** When the gang looks at all workers again. */
  long nextSearchMillis;

  /** Since when the gang could have started on approved workers; negative before. */
  long startableSinceMillis = -1;

  /** When the log last told why the gang has not started. */
  long holdLoggedMillis = Long.MIN_VALUE / 2;

  /** How many tasks have neither succeeded nor a run, and how many have a run. */
  private int waiting;

  private int runs;

  /** When all tasks it waits for had succeeded; negative before. */
  long readyAtMillis = -1;

  Step(Job job, int occurrence, int number, StepSpec spec) {
    this.job = job;
    this.occurrence = occurrence;
    this.number = number;
    this.spec = spec;
    this.name = job.order.id() + "." + occurrence + "." + number;
    for (int i = 0; i < spec.tasks(); i++) {
      tasks.add(new Task(this, i));
    }
    waiting = tasks.size();
  }

  boolean done() {
    return succeeded == tasks.size();
  }

  /** Notes a success once; returns whether it is new. */
  boolean markSucceeded(Task task) {
    if (task.succeeded) {
      return false;
    }
    waiting -= task.waiting() ? 1 : 0;
    task.succeeded = true;
    succeeded++;
    return true;
  }

  boolean hasRuns() {
    return runs > 0;
  }

  boolean hasWaitingTasks() {
    return waiting > 0;
  }

  /** Returns how many tasks have neither succeeded nor a run. */
  int waiting() {
    return waiting;
  }

  /** Counts a task that gets a run or loses it. */
  void runChanged(Task task, boolean hadRun, boolean hasRun) {
    int change = (hasRun ? 1 : 0) - (hadRun ? 1 : 0);
    runs += change;
    waiting -= task.succeeded ? 0 : change;
  }

  /** Returns a run number above all earlier ones of the tasks and of this epoch's base. */
  long nextRunNumber(long base) {
    return Math.max(base, tasks.stream().mapToLong(task -> task.lastRun).max().orElse(0)) + 1;
  }

  boolean hasProgress() {
    return succeeded > 0
        || !failedGangRuns.isEmpty()
        || tasks.stream().anyMatch(t -> !t.failedRuns.isEmpty() || !t.checkpoint.isEmpty());
  }

  StepRecord record() {
    BitSet bits = new BitSet(tasks.size());
    List<Failures> failures = new ArrayList<>();
    List<Checkpoint> checkpoints = new ArrayList<>();
    for (Task task : tasks) {
      bits.set(task.index, task.succeeded);
      if (!task.failedRuns.isEmpty()) {
        failures.add(new Failures(task.index, List.copyOf(task.failedRuns)));
      }
      if (!task.checkpoint.isEmpty() && !task.succeeded) {
        checkpoints.add(new Checkpoint(task.index, task.checkpoint));
      }
    }
    return new StepRecord(
        occurrence, number, bits.toByteArray(), List.copyOf(failedGangRuns), failures, checkpoints);
  }

  void restore(StepRecord saved) {
    BitSet bits = BitSet.valueOf(saved.succeeded());
    for (Task task : tasks) {
      if (bits.get(task.index)) {
        markSucceeded(task);
      }
    }
    failedGangRuns.addAll(saved.failedGangRuns());
    for (Failures failed : saved.failures()) {
      tasks.get(failed.task()).failedRuns.addAll(failed.runs());
    }
    for (Checkpoint point : saved.checkpoints()) {
      tasks.get(point.task()).checkpoint = point.value();
    }
  }

  /**
   * What the advisor said of a worker.
   *
   * @param life the life of the worker that it said it of
   * @param code the ticket; empty if the worker is not approved
   * @param untilMillis until when the ticket holds
   */
  record Approval(long incarnation, String code, long untilMillis) {
    boolean approved() {
      return !code.isEmpty();
    }
  }
}
