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
   * @param gangFailures how many runs of the gang have failed
   * @param lastFailedGangRun the newest of these runs; an end may be told again after a takeover
   * @param failures how often tasks have failed
   * @param checkpoints the newest checkpoints
   */
  public record StepRecord(
      int occurrence,
      int step,
      byte[] succeeded,
      int gangFailures,
      long lastFailedGangRun,
      List<Failures> failures,
      List<Checkpoint> checkpoints) {
    /** Copies the lists. */
    public StepRecord {
      failures = List.copyOf(failures);
      checkpoints = List.copyOf(checkpoints);
    }
  }

  /**
   * How often a task has failed.
   *
   * @param task its index
   * @param count how often
   * @param lastRun the newest run that failed; an end may be told again after a takeover
   */
  public record Failures(int task, int count, long lastRun) {}

  /**
   * A checkpoint of a task.
   *
   * @param task its index
   * @param value what the task resumes from
   */
  public record Checkpoint(int task, String value) {}
}
