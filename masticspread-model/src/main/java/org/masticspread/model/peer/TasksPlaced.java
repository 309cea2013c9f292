package org.masticspread.model.peer;

import java.util.List;

/**
 * Answers {@link PlaceTasks}.
 *
 * @param tasks what became of each task
 */
public record TasksPlaced(List<TaskPlaced> tasks) implements PeerMessage {

  /** Copies the lists. */
  public TasksPlaced {
    tasks = List.copyOf(tasks);
  }
}
