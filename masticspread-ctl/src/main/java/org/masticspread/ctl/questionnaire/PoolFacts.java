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
 * What a pool holds and grants.
 *
 * @param pool the pool; empty when there is none of that name
 * @param slots the slots of its active endpoints
 * @param workers what each of its active workers holds
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

  /** Returns the part of the pool that a number of requests or jobs in progress takes. */
  double part(Answers.Work work, double inProgress) {
    if (inProgress == 0) {
      return 0;
    }
    if (work.place() == Answers.Place.EXECUTORS) {
      return inProgress / slots;
    }
    ResourceVector all = workers.stream().reduce(ResourceVector.ZERO, ResourceVector::plus);
    ResourceVector one = work.size().perTask();
    double tasks = inProgress * work.size().tasks();
    double cores = tasks * one.millicores() / all.millicores();
    double memory = tasks * one.memoryBytes() / all.memoryBytes();
    double accelerators =
        one.accelerators() == 0 ? 0 : tasks * one.accelerators() / all.accelerators();
    return Math.max(cores, Math.max(memory, accelerators));
  }

  /** Returns how many tasks of a size the empty workers hold together. */
  long tasksHeld(ResourceVector one) {
    return workers.stream().mapToLong(w -> tasksHeld(w, one)).sum();
  }

  private static long tasksHeld(ResourceVector worker, ResourceVector one) {
    long tasks = Long.MAX_VALUE;
    if (one.millicores() > 0) {
      tasks = Math.min(tasks, worker.millicores() / one.millicores());
    }
    if (one.memoryBytes() > 0) {
      tasks = Math.min(tasks, worker.memoryBytes() / one.memoryBytes());
    }
    if (one.accelerators() > 0) {
      tasks = Math.min(tasks, worker.accelerators() / one.accelerators());
    }
    return tasks == Long.MAX_VALUE ? 0 : tasks;
  }
}
