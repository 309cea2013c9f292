package org.masticspread.ctl.questionnaire;

import java.util.List;
import java.util.Optional;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.config.EndpointConfig;
import org.masticspread.model.config.EndpointState;
import org.masticspread.model.config.PoolConfig;
import org.masticspread.model.config.TeamConfig;
import org.masticspread.model.config.WorkerConfig;
import org.masticspread.model.id.PoolId;
import org.masticspread.model.id.TeamId;
import org.masticspread.model.resource.ResourceVector;

/**
 * The capacity of a pool and the floors granted from it.
 *
 * @param pool the pool; empty if there is no pool of that name
 * @param slots the total number of slots of its active endpoints
 * @param workers the capacity of each of its active workers
 * @param otherFloors the sum of the floors of the other teams
 */
record PoolFacts(
    Optional<PoolConfig> pool, int slots, List<ResourceVector> workers, double otherFloors) {

  static PoolFacts of(Configuration cell, PoolId pool, TeamId team) {
    return new PoolFacts(
        cell.pools().stream().filter(p -> p.name().equals(pool)).findFirst(),
        cell.endpoints().stream()
            .filter(e -> e.pool().equals(pool) && e.state() == EndpointState.ACTIVE)
            .mapToInt(EndpointConfig::slots)
            .sum(),
        cell.workers().stream()
            .filter(w -> w.pool().equals(pool) && w.state() == EndpointState.ACTIVE)
            .map(WorkerConfig::capacity)
            .toList(),
        cell.teams().stream()
            .filter(t -> t.pool().equals(pool) && !t.retired() && !t.name().equals(team))
            .mapToDouble(TeamConfig::floor)
            .sum());
  }

  int dataCentres() {
    return pool.map(p -> p.dataCentres().size()).orElse(0);
  }

  /**
   * Returns the fraction of the pool that the given number of requests or jobs in progress uses.
   */
  double poolFraction(Answers.Work work, double inProgress) {
    if (inProgress == 0) {
      return 0;
    }
    if (work.place() == Answers.Place.EXECUTORS) {
      return inProgress / slots;
    }
    ResourceVector all = workers.stream().reduce(ResourceVector.ZERO, ResourceVector::plus);
    ResourceVector taskSize = work.size().perTask();
    double tasks = inProgress * work.size().tasks();
    double cores = tasks * taskSize.millicores() / all.millicores();
    double memory = tasks * taskSize.memoryBytes() / all.memoryBytes();
    double accelerators =
        taskSize.accelerators() == 0 ? 0 : tasks * taskSize.accelerators() / all.accelerators();
    return Math.max(cores, Math.max(memory, accelerators));
  }

  /** Returns how many tasks of a size fit on all workers together while they are empty. */
  long taskCapacity(ResourceVector taskSize) {
    return workers.stream().mapToLong(w -> taskCapacity(w, taskSize)).sum();
  }

  private static long taskCapacity(ResourceVector worker, ResourceVector taskSize) {
    long tasks = Long.MAX_VALUE;
    if (taskSize.millicores() > 0) {
      tasks = Math.min(tasks, worker.millicores() / taskSize.millicores());
    }
    if (taskSize.memoryBytes() > 0) {
      tasks = Math.min(tasks, worker.memoryBytes() / taskSize.memoryBytes());
    }
    if (taskSize.accelerators() > 0) {
      tasks = Math.min(tasks, worker.accelerators() / taskSize.accelerators());
    }
    return tasks == Long.MAX_VALUE ? 0 : tasks;
  }
}
