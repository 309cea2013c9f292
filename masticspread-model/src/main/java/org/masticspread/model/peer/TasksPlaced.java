package org.masticspread.model.peer;

import java.util.List;

/**
 * Answers {@link PlaceTasks}.
 *
 * @param tasks the outcome of each task
 */
public record TasksPlaced(List<TaskPlaced> tasks) implements PeerMessage {

  /** Copies the list. */
  public TasksPlaced {
    tasks = List.copyOf(tasks);
  }
}
