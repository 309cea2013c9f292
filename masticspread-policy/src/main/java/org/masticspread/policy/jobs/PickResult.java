package org.masticspread.policy.jobs;

import java.util.List;

/**
 * The tasks and gangs that a {@link JobQueue} selects in one round.
 *
 * @param tasks the tasks to start, each assigned to a rack
 * @param gangs the gangs to start
 */
public record PickResult(List<Assignment> tasks, List<GangStart> gangs) {

  /** Copies the lists. */
  public PickResult {
    tasks = List.copyOf(tasks);
    gangs = List.copyOf(gangs);
  }
}
