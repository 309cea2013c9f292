package org.masticspread.cell.engine;

import java.time.Instant;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.ToLongFunction;
import org.masticspread.cell.journal.EndedRecord.TeamRuns;
import org.masticspread.cell.journal.ProgressRecord;
import org.masticspread.cell.journal.ProgressRecord.StepRecord;
import org.masticspread.cell.policy.TeamLedger;
import org.masticspread.model.cell.JobOrder;
import org.masticspread.model.cell.JobState;
import org.masticspread.model.cell.StepSpec;
import org.masticspread.model.peer.CellReply;
import org.masticspread.model.resource.ResourceVector;

/**
 * A job that is accepted, or whose acceptance is not durable yet. Confined to the cell's thread.
 */
final class Job {
  /** Maximum number of occurrences open at once; further ones are opened as these are closed. */
  private static final int MAX_OPEN_OCCURRENCES = 64;

  final JobOrder order;
  final Instant acceptedAt;
  final long epoch;

  /** The time of acceptance on the cell's monotonic clock, computed back for restored jobs. */
  final long acceptedMillis;

  /** The open occurrences by number. */
  final TreeMap<Integer, List<Step>> occurrences = new TreeMap<>();

  JobState state = JobState.QUEUED;

  /** The state shown to callers, which contains an end only once it is durable. */
  JobState visibleState = JobState.QUEUED;

  boolean durable;

  /**
   * Whether its team submitted it beyond its weight; kept in memory only, so that restored jobs are
   * owed.
   */
  boolean excess;

  /** When a pass first found none of its tasks running; negative while one runs. */
  long idleSinceMillis = -1;

  /** The reply consumers of all submissions, notified if the job cannot be stored. */
  final List<Consumer<CellReply>> submitReplies = new ArrayList<>();

  private final BitSet closedOccurrences = new BitSet();
  private int nextOccurrence;

  Job(JobOrder order, Instant acceptedAt, long epoch, long acceptedMillis) {
    this.order = order;
    this.acceptedAt = acceptedAt;
    this.epoch = epoch;
    this.acceptedMillis = acceptedMillis;
  }

  String id() {
    return order.id();
  }

  /** Marks it as running, once a task has certainly started; returns whether it was waiting. */
  boolean begin() {
    if (state != JobState.QUEUED) {
      return false;
    }
    state = JobState.RUNNING;
    visibleState = JobState.RUNNING;
    return true;
  }

  /** Opens the occurrences that are due until a wall-clock time. */
  void openUntil(Instant time) {
    int count = order.recurrence().count();
    while (nextOccurrence < count
        && occurrences.size() < MAX_OPEN_OCCURRENCES
        && (!order.recurrence().timed() || !order.recurrence().due(nextOccurrence).isAfter(time))) {
      if (!closedOccurrences.get(nextOccurrence)) {
        open(nextOccurrence);
      }
      nextOccurrence++;
    }
  }

  private void open(int occurrence) {
    List<Step> steps = new ArrayList<>();
    for (int number = 0; number < order.steps().size(); number++) {
      steps.add(new Step(this, occurrence, number, order.steps().get(number)));
    }
    occurrences.put(occurrence, steps);
  }

  /** Returns a step of an open occurrence, or null if there is none with these numbers. */
  Step step(int occurrence, int number) {
    List<Step> steps = occurrences.get(occurrence);
    return steps == null || number < 0 || number >= steps.size() ? null : steps.get(number);
  }

  /** Closes the timed occurrences that are done; returns whether the whole job is done. */
  boolean allDone() {
    occurrences
        .entrySet()
        .removeIf(
            entry -> {
              boolean done = entry.getValue().stream().allMatch(Step::done);
              boolean idle = entry.getValue().stream().noneMatch(Step::hasRuns);
              boolean close = order.recurrence().timed() && done && idle;
              closedOccurrences.set(entry.getKey(), close);
              return close;
            });
    boolean open = occurrences.values().stream().flatMap(List::stream).anyMatch(s -> !s.done());
    return !open && nextOccurrence >= order.recurrence().count();
  }

  boolean hasRuns() {
    return occurrences.values().stream().flatMap(List::stream).anyMatch(Step::hasRuns);
  }

  /** Updates since when none of its tasks has run. */
  void updateIdleTime(long nowMillis) {
    if (hasRuns()) {
      idleSinceMillis = -1;
    } else if (idleSinceMillis < 0) {
      idleSinceMillis = nowMillis;
    }
  }

  /** Returns whether all steps that a step depends on are done. */
  boolean ready(Step step) {
    for (int earlier : step.spec.after()) {
      Step before = step(step.occurrence, earlier);
      if (before != null && !before.done()) {
        return false;
      }
    }
    return true;
  }

  /**
   * Returns what counts against the cap of its team when it ends: runs that are to be stopped and,
   * for a job of an earlier epoch, tasks that may run unseen.
   */
  List<TeamRuns> runsAtEnd(boolean mayRunUnseen) {
    if (order.team().isEmpty()) {
      return List.of();
    }
    ResourceVector largest = ResourceVector.ZERO;
    ResourceVector mayRun = ResourceVector.ZERO;
    ResourceVector mayFill = ResourceVector.ZERO;
    for (List<Step> steps : occurrences.values()) {
      for (Step step : steps) {
        ResourceVector demand = step.spec.demand();
        largest =
            new ResourceVector(
                Math.max(largest.millicores(), demand.millicores()),
                Math.max(largest.memoryBytes(), demand.memoryBytes()),
                Math.max(largest.accelerators(), demand.accelerators()));
        int count = (int) step.tasks.stream().filter(t -> mayRunAtEnd(t, mayRunUnseen)).count();
        ResourceVector running = TeamLedger.product(demand, count);
        if (step.spec.fills()) {
          mayFill = TeamLedger.sum(mayFill, running);
        } else {
          mayRun = TeamLedger.sum(mayRun, running);
        }
      }
    }
    return List.of(new TeamRuns(order.team(), largest, mayRun, mayFill));
  }

  private boolean mayRunAtEnd(Task task, boolean mayRunUnseen) {
    if (task.run() == null) {
      return mayRunUnseen && !task.succeeded;
    }
    // A run of a job that succeeded has ended too, unless it is being stopped.
    return state != JobState.SUCCEEDED || task.run().stopRequested;
  }

  ProgressRecord record() {
    List<StepRecord> steps = new ArrayList<>();
    for (List<Step> occurrence : occurrences.values()) {
      occurrence.stream().filter(Step::hasProgress).map(Step::record).forEach(steps::add);
    }
    return new ProgressRecord(state, closedOccurrences.toByteArray(), steps);
  }

  void restore(ProgressRecord saved, Instant openUntil) {
    state = saved.state();
    visibleState = saved.state();
    closedOccurrences.or(BitSet.valueOf(saved.closed()));
    openUntil(openUntil);
    for (StepRecord step : saved.steps()) {
      Step open = step(step.occurrence(), step.step());
      if (open != null) {
        open.restore(step);
      }
    }
  }

  /** Returns the length of the critical path: the longest chain of dependent steps, by run time. */
  static long criticalPathMillis(JobOrder order, ToLongFunction<StepSpec> expectedMillis) {
    long[] ends = new long[order.steps().size()];
    long longest = 0;
    for (int number = 0; number < ends.length; number++) {
      StepSpec spec = order.steps().get(number);
      long begin = 0;
      for (int earlier : spec.after()) {
        begin = Math.max(begin, earlier < number ? ends[earlier] : 0);
      }
      ends[number] = begin + expectedMillis.applyAsLong(spec);
      longest = Math.max(longest, ends[number]);
    }
    return longest;
  }
}
