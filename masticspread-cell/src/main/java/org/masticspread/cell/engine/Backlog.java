package org.masticspread.cell.engine;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToLongFunction;
import org.masticspread.cell.policy.Admission;
import org.masticspread.cell.policy.FairShare;
import org.masticspread.cell.policy.TeamLedger;
import org.masticspread.model.cell.JobOrder;
import org.masticspread.model.cell.QueueRule;
import org.masticspread.model.cell.StepSpec;
import org.masticspread.model.cell.Teams;
import org.masticspread.model.resource.ResourceVector;

/** Computes the waiting and running work on which the admission of a job is decided. */
final class Backlog {
  /** How long a snapshot is used; jobs accepted meanwhile are added to it. */
  private static final Duration CACHE_TTL = Duration.ofMillis(50);

  /** Least urgent priority, for the waiting work of all priorities. */
  private static final int ALL_PRIORITIES = Integer.MAX_VALUE;

  /** Number of workers assumed when the duration of a job's advice call is estimated. */
  private static final int ASSUMED_WORKERS_PER_CALL = 8;

  private final CellPorts ports;
  private final JobStore jobs;
  private final Fleet fleet;
  private final Cell cell;
  private final TeamQuotas quotas;
  private final Map<String, LoadSnapshot> snapshots = new HashMap<>();

  Backlog(CellPorts ports, JobStore jobs, Fleet fleet, Cell cell, TeamQuotas quotas) {
    this.ports = ports;
    this.jobs = jobs;
    this.fleet = fleet;
    this.cell = cell;
    this.quotas = quotas;
  }

  /**
   * Returns the facts for the admission of a job. Excess waits for all work of its priority and the
   * more urgent ones; an owed job of a team below its weighted share waits for its own team's work,
   * and for that of the others within their shares.
   */
  Admission.Facts facts(JobOrder order, QueueRule queue, boolean excess) {
    long path = Job.criticalPathMillis(order, spec -> cell.expectedMillis(queue, spec));
    long width = 0;
    for (StepSpec step : order.steps()) {
      width = Math.max(width, step.tasks() * step.booked().millicores());
    }
    long advice =
        queue.advice().map(rule -> rule.callTime(ASSUMED_WORKERS_PER_CALL).toMillis()).orElse(0L);
    long objective = (long) (queue.stretch() * path) + queue.target().toMillis();
    LoadSnapshot snapshot = snapshot(queue, queue.priority());
    Waiting ahead = snapshot.ahead(order.team(), excess, cell.teams());
    long backlog = excess ? (long) snapshot(queue, ALL_PRIORITIES).all().readyCoreMillis : 0;
    return new Admission.Facts(
        snapshot.capacityMillicores,
        snapshot.freeMillicores,
        ahead.demand.millicores(),
        (long) ahead.coreMillis,
        (long) snapshot.runningCoreMillis,
        width,
        Duration.ofMillis(path + advice),
        Duration.ofMillis(objective),
        excess,
        backlog);
  }

  /**
   * Decides on the admission of a job: it must be expected to end in time both by the capacity and
   * by the cap of its team.
   */
  Admission.Decision decide(JobOrder order, QueueRule queue, Admission.Facts facts) {
    Admission.Decision decision = Admission.decide(facts);
    long cap = quotas.caps().cap(order.team()).millicores();
    if (!decision.accepted() || cap == 0) {
      return decision;
    }
    TeamLoad load = snapshot(queue, queue.priority()).teamLoad(order.team());
    Waiting ahead = facts.excess() ? load.all : load.owed;
    Admission.Decision underCap =
        Admission.decide(
            new Admission.Facts(
                Math.min(facts.capacityMillicores(), cap),
                Math.min(facts.freeMillicores(), quotas.roomMillicores(order.team())),
                ahead.demand.millicores(),
                (long) ahead.coreMillis,
                (long) load.runningCoreMillis,
                facts.widthMillicores(),
                facts.criticalPath(),
                facts.objective()));
    return underCap.accepted() ? decision : underCap;
  }

  /** Adds an accepted job to the cached snapshots. */
  void addAccepted(JobOrder order, QueueRule queue, boolean excess) {
    for (LoadSnapshot snapshot : snapshots.values()) {
      if (snapshot.endpoint.equals(queue.endpoint()) && queue.priority() <= snapshot.priority) {
        for (StepSpec step : order.steps()) {
          ResourceVector demand = TeamLedger.product(step.booked(), step.tasks());
          double coreMillis = demand.millicores() / 1000.0 * cell.expectedMillis(queue, step);
          snapshot
              .teamLoad(order.team())
              .addWaiting(excess, demand, coreMillis, step.after().isEmpty());
        }
      }
    }
  }

  private LoadSnapshot snapshot(QueueRule queue, int priority) {
    String key = priority + " " + queue.endpoint();
    LoadSnapshot cached = snapshots.get(key);
    if (cached != null && ports.clock().millis() - cached.atMillis < CACHE_TTL.toMillis()) {
      return cached;
    }
    LoadSnapshot snapshot =
        new LoadSnapshot(queue.endpoint(), priority, ports.clock().millis(), quotas);
    snapshot.capacityMillicores = fleet.capacityMillicores(queue.endpoint());
    snapshot.freeMillicores = fleet.freeMillicores(queue.endpoint());
    for (Job job : jobs.open()) {
      Optional<QueueRule> other = cell.queue(job);
      if (other.isPresent() && other.get().endpoint().equals(queue.endpoint())) {
        boolean counted = other.get().priority() <= priority;
        snapshot.add(job, spec -> cell.expectedMillis(other.get(), spec), counted);
      }
    }
    snapshots.put(key, snapshot);
    return snapshot;
  }

  /** The load of an endpoint at one time; waiting work is counted up to one priority. */
  private static final class LoadSnapshot {
    private final String endpoint;
    private final int priority;
    private final long atMillis;
    private final TeamQuotas quotas;
    private final Map<String, TeamLoad> teams = new HashMap<>();
    private long capacityMillicores;
    private long freeMillicores;
    private double runningCoreMillis;

    LoadSnapshot(String endpoint, int priority, long atMillis, TeamQuotas quotas) {
      this.endpoint = endpoint;
      this.priority = priority;
      this.atMillis = atMillis;
      this.quotas = quotas;
    }

    void add(Job job, ToLongFunction<StepSpec> expectedMillis, boolean counted) {
      TeamLoad load = teamLoad(job.order.team());
      for (List<Step> steps : job.occurrences.values()) {
        for (Step step : steps) {
          long millicores = step.spec.booked().millicores();
          double coreMillisPerTask = millicores / 1000.0 * expectedMillis.applyAsLong(step.spec);
          if (step.hasRuns()) {
            load.runningMillicores += millicores * step.running();
            for (Task task : step.tasks) {
              double left =
                  task.run() == null ? 0 : coreMillisPerTask * (100 - task.run().percent) / 100;
              runningCoreMillis += left;
              load.runningCoreMillis += left;
            }
          }
          if (counted) {
            load.addWaiting(
                job.excess,
                TeamLedger.product(step.spec.booked(), step.waiting()),
                coreMillisPerTask * step.waiting(),
                job.ready(step));
          }
        }
      }
    }

    private TeamLoad teamLoad(String team) {
      return teams.computeIfAbsent(team, name -> new TeamLoad());
    }

    /** Returns all waiting work; of a team counts only what its cap lets it run at once. */
    Waiting all() {
      Waiting sum = new Waiting();
      teams.forEach(
          (name, load) -> sum.addPart(load.all, quotas.partUnderCap(name, load.all.demand)));
      return sum;
    }

    /** Returns the waiting work that starts before a new job of a team. */
    Waiting ahead(String team, boolean isExcess, Teams configured) {
      if (isExcess || configured.isEmpty()) {
        return all();
      }
      Set<String> active = new HashSet<>();
      active.add(team);
      teams.forEach(
          (name, load) -> {
            if (load.active()) {
              active.add(name);
            }
          });
      FairShare shares =
          FairShare.of(new ResourceVector(capacityMillicores, 0, 0), configured, active);
      boolean below = shares.below(team, teamLoad(team).demand());
      Waiting ahead = new Waiting();
      teams.forEach(
          (name, load) -> {
            double share = shares.entitlement(name) * capacityMillicores;
            double part = below && !name.equals(team) ? load.owedPartWithin(share) : 1;
            ahead.addPart(load.owed, Math.min(part, quotas.partUnderCap(name, load.owed.demand)));
          });
      return ahead;
    }
  }

  /** Work that waits. */
  private static final class Waiting {
    /** The demand of the tasks that could start now. */
    private ResourceVector demand = ResourceVector.ZERO;

    /** The work of all tasks that wait. */
    private double coreMillis;

    /** The work of the tasks that could start now. */
    private double readyCoreMillis;

    void add(ResourceVector tasks, double work, boolean ready) {
      coreMillis += work;
      if (ready) {
        demand = TeamLedger.sum(demand, tasks);
        readyCoreMillis += work;
      }
    }

    void addPart(Waiting other, double part) {
      long millicores = (long) (part * other.demand.millicores());
      demand = TeamLedger.sum(demand, new ResourceVector(millicores, 0, 0));
      coreMillis += part * other.coreMillis;
      readyCoreMillis += part * other.readyCoreMillis;
    }
  }

  /** The running and the waiting work of one team. */
  private static final class TeamLoad {
    private final Waiting all = new Waiting();
    private final Waiting owed = new Waiting();
    private long runningMillicores;
    private double runningCoreMillis;

    void addWaiting(boolean excess, ResourceVector tasks, double coreMillis, boolean ready) {
      all.add(tasks, coreMillis, ready);
      if (!excess) {
        owed.add(tasks, coreMillis, ready);
      }
    }

    /** Returns whether the team uses the endpoint or waits for it. */
    boolean active() {
      return runningMillicores > 0 || all.coreMillis > 0;
    }

    /** Returns the running and the waiting work that count for the share of the team. */
    ResourceVector demand() {
      return new ResourceVector(runningMillicores + owed.demand.millicores(), 0, 0);
    }

    /** Returns the part of the owed work that fits into a share beside the running work. */
    double owedPartWithin(double shareMillicores) {
      double room = Math.max(0, shareMillicores - runningMillicores);
      long waiting = owed.demand.millicores();
      return waiting <= room ? 1 : room / waiting;
    }
  }
}
