package org.masticspread.model.peer;

import java.util.List;
import org.masticspread.model.platform.TaskAttempt;

/**
 * Answers {@link ReportTasks}: ended attempts that are durably known.
 *
 * @param tasks the attempts
 */
public record TasksAcknowledged(List<TaskAttempt> tasks) implements PeerMessage {

  /** Copies the lists. */
  public TasksAcknowledged {
    tasks = List.copyOf(tasks);
  }
}
