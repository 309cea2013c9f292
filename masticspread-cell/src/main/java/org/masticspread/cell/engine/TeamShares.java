package org.masticspread.cell.engine;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.masticspread.cell.policy.FairShare;
import org.masticspread.cell.policy.TeamLedger;
import org.masticspread.model.cell.Teams;
import org.masticspread.model.resource.ResourceVector;

/**
 * Finds the waiting steps that would take their teams beyond their weighted shares, in one
 * scheduling pass. Confined to the cell's thread.
 */
final class TeamShares {
  private final Teams teams;
  private final SchedulingPass pass;
  private final Cell cell;

  TeamShares(Teams teams, SchedulingPass pass, Cell cell) {
    this.teams = teams;
    this.pass = pass;
    this.cell = cell;
  }

  /**
   * Returns the steps beyond the shares of their teams; none at an endpoint at which all owed work
   * fits into the free capacity.
   *
   * @param waiting the waiting steps in start order, by endpoint
   * @param open the accepted jobs that have not ended
   */
  Set<Step> beyondShare(Map<String, List<Step>> waiting, Collection<Job> open) {
    Set<Step> beyond = new HashSet<>();
    Map<String, Map<String, ResourceVector>> running = null;
    for (Map.Entry<String, List<Step>> entry : waiting.entrySet()) {
      List<Worker> workers = pass.usableWorkers(entry.getKey());
      ResourceVector free = sum(workers, Worker::free);
      ResourceVector owed = ResourceVector.ZERO;
      for (Step step : entry.getValue()) {
        owed = step.job.excess ? owed : TeamLedger.sum(owed, demand(step, step.waiting()));
      }
      if (!owed.fitsIn(free)) {
        running = running == null ? running(open) : running;
        Map<String, ResourceVector> used = running.getOrDefault(entry.getKey(), new HashMap<>());
        addBeyond(entry.getValue(), sum(workers, Worker::capacity), used, beyond);
      }
    }
    return beyond;
  }

  private static ResourceVector sum(
      List<Worker> workers, Function<Worker, ResourceVector> amounts) {
    long millicores = 0;
    long memoryBytes = 0;
    int accelerators = 0;
    for (Worker worker : workers) {
      ResourceVector amount = amounts.apply(worker);
      millicores += amount.millicores();
      memoryBytes += amount.memoryBytes();
      accelerators += amount.accelerators();
    }
    return new ResourceVector(millicores, memoryBytes, accelerators);
  }

  private void addBeyond(
      List<Step> waiting,
      ResourceVector capacity,
      Map<String, ResourceVector> used,
      Set<Step> beyond) {
    Set<String> active = new HashSet<>(used.keySet());
    waiting.forEach(step -> active.add(step.job.order.team()));
    FairShare shares = FairShare.of(capacity, teams, active);
    for (Step step : waiting) {
      String team = step.job.order.team();
      ResourceVector before = used.getOrDefault(team, ResourceVector.ZERO);
      if (!shares.below(team, before)) {
        beyond.add(step);
      }
      used.put(team, TeamLedger.sum(before, demand(step, step.waiting())));
    }
  }

  /** Returns what each team has running, by endpoint. */
  private Map<String, Map<String, ResourceVector>> running(Collection<Job> open) {
    Map<String, Map<String, ResourceVector>> byEndpoint = new HashMap<>();
    for (Job job : open) {
      cell.queue(job)
          .ifPresent(
              queue -> {
                Map<String, ResourceVector> used =
                    byEndpoint.computeIfAbsent(queue.endpoint(), e -> new HashMap<>());
                ResourceVector sum = runningOf(job);
                if (!sum.equals(ResourceVector.ZERO)) {
                  used.merge(job.order.team(), sum, TeamLedger::sum);
                }
              });
    }
    return byEndpoint;
  }

  private static ResourceVector runningOf(Job job) {
    ResourceVector sum = ResourceVector.ZERO;
    for (List<Step> steps : job.occurrences.values()) {
      for (Step step : steps) {
        if (step.hasRuns()) {
          sum = TeamLedger.sum(sum, demand(step, step.running()));
        }
      }
    }
    return sum;
  }

  /** Returns a demand; callers may declare any, so that it may be beyond the range of a number. */
  private static ResourceVector demand(Step step, int tasks) {
    return TeamLedger.product(step.spec.booked(), tasks);
  }
}
