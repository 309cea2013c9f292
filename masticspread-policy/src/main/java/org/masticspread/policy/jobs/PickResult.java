package org.masticspread.policy.jobs;

import java.util.List;

/**
 * What a {@link JobQueue} gives out in one round.
 *
 * @param tasks tasks to place, each on its rack
 * @param gangs gangs to plan
 */
public record PickResult(List<Assignment> tasks, List<GangStart> gangs) {

  /** Copies the lists. */
  public PickResult {
    tasks = List.copyOf(tasks);
    gangs = List.copyOf(gangs);
  }
}
