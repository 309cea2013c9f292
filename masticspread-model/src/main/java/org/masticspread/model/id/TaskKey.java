package org.masticspread.model.id;

/**
 * Identifies a task of a job.
 *
 * @param job the job
 * @param index the position in the job, from 0
 */
public record TaskKey(JobKey job, int index) {

  /**
   * Checks the position.
   *
   * @throws IllegalArgumentException if the position is negative
   */
  public TaskKey {
    if (index < 0) {
      throw new IllegalArgumentException("index: " + index + " is negative");
    }
  }

  @Override
  public String toString() {
    return job + "#" + index;
  }
}
