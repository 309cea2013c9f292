package org.masticspread.state.history;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.masticspread.model.id.JobKey;
import org.masticspread.model.id.TaskKey;
import org.masticspread.model.id.WorkerId;
import org.masticspread.model.result.ResultCode;
import org.masticspread.model.result.RunState;
import org.masticspread.model.work.JobPhase;
import org.masticspread.state.history.Violation.Guarantee;

/**
 * Checks the guarantees for jobs: a task runs in one place at a time, a non-idempotent task runs at
 * most once, an accepted job is not lost, and a job reported as not run did not run.
 */
final class JobRules {
  /**
   * The worker that runs an attempt.
   *
   * @param attempt the attempt
   * @param worker the worker
   */
  private record Place(int attempt, WorkerId worker) {}

  /** The events observed for one job. */
  private static final class ObservedJob {
    private int tasks;
    private boolean idempotent = true;
    private boolean submitted;
    private boolean accepted;
    private boolean maybeAccepted;
    private int answers;
    private int submissions;
    private JobPhase shown;
    private final Map<Integer, Integer> starts = new LinkedHashMap<>();
  }

  private final Map<JobKey, ObservedJob> jobs = new LinkedHashMap<>();
  private final Map<TaskKey, Set<Place>> running = new LinkedHashMap<>();
  private final List<Violation> violations = new ArrayList<>();

  void add(HistoryEvent event) {
    if (event instanceof HistoryEvent.JobSubmitted submitted) {
      ObservedJob job = observed(submitted.job());
      job.submitted = true;
      job.submissions++;
      job.tasks = submitted.tasks();
      job.idempotent = submitted.idempotent();
    } else if (event instanceof HistoryEvent.JobAnswered answered) {
      recordAnswer(observed(answered.job()), answered.code());
    } else if (event instanceof HistoryEvent.JobShown shown) {
      observed(shown.job()).shown = shown.phase();
    } else if (event instanceof HistoryEvent.TaskStarted started) {
      recordStart(started);
    } else if (event instanceof HistoryEvent.TaskStopped stopped) {
      placesOf(stopped.task()).remove(new Place(stopped.attempt(), stopped.worker()));
    }
  }

  private ObservedJob observed(JobKey job) {
    return jobs.computeIfAbsent(job, key -> new ObservedJob());
  }

  private Set<Place> placesOf(TaskKey task) {
    return running.computeIfAbsent(task, key -> new HashSet<>());
  }

  private static void recordAnswer(ObservedJob job, ResultCode code) {
    job.answers++;
    job.accepted |= code == ResultCode.ACCEPTED || code == ResultCode.ALREADY_ACCEPTED;
    job.maybeAccepted |= code.runState() != RunState.NOT_RUN;
  }

  private void recordStart(HistoryEvent.TaskStarted started) {
    TaskKey task = started.task();
    Set<Place> places = placesOf(task);
    Place place = new Place(started.attempt(), started.worker());
    if (!places.isEmpty()) {
      String detail = place + " started while the task ran at " + places;
      violations.add(new Violation(Guarantee.NEVER_TWO_PLACES, task.toString(), detail));
    }
    places.add(place);
    observed(task.job()).starts.merge(task.index(), 1, Integer::sum);
  }

  List<Violation> violations() {
    List<Violation> all = new ArrayList<>(violations);
    jobs.forEach(
        (key, job) -> {
          checkStarts(key, job, all);
          checkNotRun(key, job, all);
          checkLost(key, job, all);
        });
    return all;
  }

  private static void checkStarts(JobKey key, ObservedJob job, List<Violation> all) {
    if (job.idempotent) {
      return;
    }
    job.starts.forEach(
        (index, count) -> {
          if (count > 1) {
            String task = new TaskKey(key, index).toString();
            all.add(new Violation(Guarantee.RAN_AT_MOST_ONCE, task, "ran " + count + " times"));
          }
        });
  }

  private static void checkNotRun(JobKey key, ObservedJob job, List<Violation> all) {
    boolean allRefused =
        !job.accepted && !job.maybeAccepted && job.submitted && job.answers >= job.submissions;
    if (allRefused && (!job.starts.isEmpty() || job.shown != null)) {
      all.add(
          new Violation(
              Guarantee.NOT_RUN_IS_TRUE, key.toString(), "was refused, but is known or ran"));
    }
  }

  private static void checkLost(JobKey key, ObservedJob job, List<Violation> all) {
    if (!job.accepted) {
      return;
    }
    if (job.shown == null) {
      all.add(
          new Violation(
              Guarantee.NOTHING_ACCEPTED_LOST, key.toString(), "was accepted, but is not known"));
    }
    if (job.shown == JobPhase.SUCCEEDED && job.starts.size() < job.tasks) {
      String detail = "succeeded with " + job.starts.size() + " of " + job.tasks + " tasks run";
      all.add(new Violation(Guarantee.NOTHING_ACCEPTED_LOST, key.toString(), detail));
    }
  }
}
