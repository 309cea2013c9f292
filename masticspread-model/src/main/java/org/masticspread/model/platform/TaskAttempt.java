package org.masticspread.model.platform;

import org.masticspread.model.id.TaskKey;

/**
 * One attempt of a task.
 *
 * @param task the task
 * @param attempt the number of the attempt, from 1
 */
public record TaskAttempt(TaskKey task, int attempt) {

  @Override
  public String toString() {
    return task + "/" + attempt;
  }
}
