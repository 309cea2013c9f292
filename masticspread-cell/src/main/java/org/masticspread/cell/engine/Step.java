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

/** One step of one occurrence of a job. Confined to the cell's thread. */
final class Step {
  final Job job;
  final int occurrence;
  final int number;
  final StepSpec spec;
  final String name;
  final List<Task> tasks = new ArrayList<>();
  final Map<String, Approval> approvals = new HashMap<>();
  int succeeded;

  /** The numbers of the failed runs of the gang. */
  final Set<Long> failedGangRuns = new TreeSet<>();

  /** The number of approval calls in flight. */
  int approvalCalls;

  /** The number of ticket calls in flight. */
  int ticketCalls;

  /** The workers whose capacity the gang keeps reserved while it requests their tickets. */
  List<Worker> claimedWorkers = List.of();

  /** When the gang requested the tickets of {@link #claimedWorkers}. */
  long claimedSinceMillis;

  /** Before this time no advice is requested. */
  long nextAdviceMillis;

  /** The latest start that meets the objective. */
  long latestStartMillis;

  /** When the latest start was computed; negative before that. */
  long latestStartComputedMillis = -1;

  /** Since when only some members of the gang have a run; negative if all or none have one. */
  long incompleteSinceMillis = -1;

  /** The workers of the plan that the gang waits for. */
  List<Worker> plannedWorkers = List.of();

  /** Since when the gang has had a plan; negative before that. */
  long plannedSinceMillis = -1;

  /** When the gang next considers all workers. */
  long nextSearchMillis;

  /** Since when the gang could have started on approved workers; negative before that. */
  long startableSinceMillis = -1;

  /** When the reason why the gang has not started was last logged. */
  long holdLoggedMillis = Long.MIN_VALUE / 2;

  /** Since when the gang has waited for room under the cap of its team. */
  long heldSinceMillis = -1;

  /** The number of tasks that have neither succeeded nor a run. */
  private int waiting;

  /** The number of tasks that have a run. */
  private int runs;

  /** When the step was first found ready to start; negative before that. */
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

  /** Marks a task as succeeded; returns whether it was not marked before. */
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

  /** Returns the number of tasks that have neither succeeded nor a run. */
  int waiting() {
    return waiting;
  }

  /** Returns the number of tasks that have a run. */
  int running() {
    return runs;
  }

  /** Updates the counts when a task gets or loses a run. */
  void runChanged(Task task, boolean hadRun, boolean hasRun) {
    int change = (hasRun ? 1 : 0) - (hadRun ? 1 : 0);
    runs += change;
    waiting -= task.succeeded ? 0 : change;
  }

  /** Returns a run number above those of all earlier runs and above the base of this epoch. */
  long nextRunNumber(long base) {
    return Math.max(base, tasks.stream().mapToLong(task -> task.lastRun).max().orElse(0)) + 1;
  }

  /** Returns whether there is progress to store. */
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
   * The advisor's answer about a worker.
   *
   * @param incarnation the incarnation of the worker that the answer is about
   * @param code the ticket; empty if the worker is not approved
   * @param validUntilMillis until when the ticket is valid
   */
  record Approval(long incarnation, String code, long validUntilMillis) {
    boolean approved() {
      return !code.isEmpty();
    }
  }
}
