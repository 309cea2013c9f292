package org.masticspread.model.peer;

import java.util.List;
import org.masticspread.model.platform.TaskAttempt;

/**
 * Answers {@link ReportTasks} with the ended attempts that are durably recorded.
 *
 * @param tasks the attempts
 */
public record TasksAcknowledged(List<TaskAttempt> tasks) implements PeerMessage {

  /** Copies the list. */
  public TasksAcknowledged {
    tasks = List.copyOf(tasks);
  }
}
