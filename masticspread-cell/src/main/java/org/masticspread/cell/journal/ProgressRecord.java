package org.masticspread.cell.journal;

import java.util.List;
import org.masticspread.model.cell.JobState;

/**
 * The durable progress of a job. Written anew with each change.
 *
 * @param state the job's state
 * @param closed the occurrences that are done, as the bytes of a bit set
 * @param steps the steps of which a task has ended
 */
public record ProgressRecord(JobState state, byte[] closed, List<StepRecord> steps) {
  /** Copies the list. */
  public ProgressRecord {
    steps = List.copyOf(steps);
  }

  /**
   * The progress of one step.
   *
   * @param occurrence the occurrence of the job
   * @param step the number of the step
   * @param succeeded the tasks that succeeded, as the bytes of a bit set
   * @param failedGangRuns the runs of the gang that have failed
   * @param failures the failures of its tasks
   * @param checkpoints the newest checkpoints
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
   * The failures of a task. Its runs are kept, since an end may be told again after a takeover, and
   * ends of several workers come in any order.
   *
   * @param task its index
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
   * @param task its index
   * @param value what the task resumes from
   */
  public record Checkpoint(int task, String value) {}
}
