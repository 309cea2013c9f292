package org.masticspread.cell.journal;

import java.util.List;
import java.util.Objects;
import org.masticspread.model.cell.JobState;

/**
 * The stored progress of a job. It is rewritten with each change.
 *
 * @param state the state of the job
 * @param closed the occurrences that are completed, as the bytes of a bit set
 * @param steps the steps of which at least one task has ended
 */
public record ProgressRecord(JobState state, byte[] closed, List<StepRecord> steps) {
  /** Checks that no field is missing, and copies the list. */
  public ProgressRecord {
    Objects.requireNonNull(state, "state");
    Objects.requireNonNull(closed, "closed");
    steps = List.copyOf(steps);
  }

  /**
   * The progress of one step.
   *
   * @param occurrence the number of the occurrence of the job
   * @param step the number of the step
   * @param succeeded the tasks that succeeded, as the bytes of a bit set
   * @param failedGangRuns the runs of the gang that have failed
   * @param failures the failures of its tasks
   * @param checkpoints the newest checkpoints of its tasks
   */
  public record StepRecord(
      int occurrence,
      int step,
      byte[] succeeded,
      List<Long> failedGangRuns,
      List<Failures> failures,
      List<Checkpoint> checkpoints) {
    /** Copies the lists. */
    public StepRecord {
      failedGangRuns = List.copyOf(failedGangRuns);
      failures = List.copyOf(failures);
      checkpoints = List.copyOf(checkpoints);
    }
  }

  /**
   * The failures of a task. The failed runs are stored and not just counted, since the end of a run
   * may be reported again after a failover, and reports of several workers arrive in any order.
   *
   * @param task the index of the task
   * @param runs the runs that failed
   */
  public record Failures(int task, List<Long> runs) {
    /** Copies the list. */
    public Failures {
      runs = List.copyOf(runs);
    }
  }

  /**
   * A checkpoint of a task.
   *
   * @param task the index of the task
   * @param value the value from which the task resumes
   */
  public record Checkpoint(int task, String value) {}
}
