package org.masticspread.cell.engine;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.masticspread.cell.journal.EndedRecord;
import org.masticspread.cell.journal.EndedRecord.TeamRuns;
import org.masticspread.cell.policy.TeamLedger;
import org.masticspread.model.cell.CellConfig;
import org.masticspread.model.cell.JobOrder;
import org.masticspread.model.cell.StepSpec;
import org.masticspread.model.resource.ResourceVector;

/**
 * Keeps the teams under their caps: feeds the ledger with all that may run, and holds back the
 * steps of teams that have no room. Confined to the cell's thread.
 *
 * <p>Runs count by what their tasks declare, also those that only fill idle processors.
 */
final class TeamQuotas {
  /** Wait of a gang for room under the cap from which smaller steps no longer take that room. */
  private static final Duration GANG_OVERTAKEN_FOR = Duration.ofSeconds(2);

  /** Wait of a gang from which not even the first task of an idle job takes its room. */
  private static final Duration GANG_YIELDS_FOR = Duration.ofSeconds(10);

  /**
   * Idle time after which a job may take room that is kept for a gang, while its team uses less
   * than half of its cap. A job may be idle for 3 s in all, including the time for advice.
   */
  private static final Duration MAX_JOB_IDLE = Duration.ofMillis(1500);

  private static final int HALF_PERMILLE = 500;

  /** Minimum interval of log events about the same team. */
  private static final Duration LOG_INTERVAL = Duration.ofSeconds(10);

  private final CellPorts ports;
  private final JobStore jobs;
  private final TeamCaps caps;
  private final TeamLedger ledger;

  /** What may run of jobs that have ended, by team, without filling tasks. */
  private final Map<String, ResourceVector> endedMayRun = new HashMap<>();

  /** What may run of filling tasks of jobs that have ended, by team. */
  private final Map<String, ResourceVector> endedMayFill = new HashMap<>();

  /** Runs whose job, and so whose team, is not known before the ended jobs are loaded. */
  private final Set<Run> unknownRuns = new LinkedHashSet<>();

  /** The gang of each team that has waited longest for room under the cap. */
  private final Map<String, Step> heldGangs = new HashMap<>();

  private final Map<String, Long> loggedMillis = new HashMap<>();
  private boolean endedJobsLoaded;

  TeamQuotas(CellPorts ports, CellConfig config, JobStore jobs) {
    this.ports = ports;
    this.jobs = jobs;
    this.caps = new TeamCaps(ports, config);
    this.ledger = new TeamLedger(caps::cap);
  }

  TeamCaps caps() {
    return caps;
  }

  TeamLedger ledger() {
    return ledger;
  }

  /**
   * Returns the part of waiting work that a team may run at once beside its known runs, by the
   * resource that its cap limits most. What may run unseen after a takeover is itself part of the
   * waiting work, so it is not subtracted.
   */
  double partUnderCap(String team, ResourceVector waiting) {
    ResourceVector cap = caps.cap(team);
    ResourceVector known = ledger.knownRuns(team);
    double part = part(cap.millicores(), known.millicores(), waiting.millicores());
    part = Math.min(part, part(cap.memoryBytes(), known.memoryBytes(), waiting.memoryBytes()));
    return Math.min(part, part(cap.accelerators(), known.accelerators(), waiting.accelerators()));
  }

  private static double part(long cap, long used, long waiting) {
    if (cap == 0 || waiting == 0) {
      return 1;
    }
    return Math.min(1.0, (double) Math.max(0, cap - used) / waiting);
  }

  /** Returns how many thousandths of a core a team with a cap may still start. */
  long roomMillicores(String team) {
    return Math.max(0, caps.cap(team).millicores() - ledger.running(team).millicores());
  }

  /** Returns why a job can never run under the cap of its team, if so. */
  Optional<String> refusal(JobOrder order) {
    String team = order.team();
    if (!caps.accepts(team)) {
      return Optional.of("its team is not in the configuration");
    }
    for (StepSpec step : order.steps()) {
      int tasks = step.gang() ? step.tasks() : 1;
      if (!team.isEmpty() && !ledger.fitsCap(team, step.demand(), tasks)) {
        String what = step.gang() ? "a gang of " + tasks + " tasks" : "a task";
        return Optional.of("it can never run: " + what + " exceeds the cap of its team");
      }
    }
    return Optional.empty();
  }

  /** Adds a run that may be active. */
  void booked(Run run) {
    if (run.task != null) {
      assign(run, run.task.step.job.order.team(), run.task.step.spec.demand());
      return;
    }
    Optional<Job> job = jobs.find(run.jobId());
    Optional<TeamRuns> ended = jobs.endedRuns(run.jobId());
    if (job.isPresent()) {
      Optional<Task> task = jobs.task(run.taskName);
      ResourceVector demand = task.map(known -> known.step.spec.demand()).orElse(run.booked);
      assign(run, job.get().order.team(), demand);
    } else if (ended.isPresent()) {
      assign(run, ended.get().team(), ended.get().largestTask());
    } else if (!endedJobsLoaded && jobs.ended(run.jobId()).isEmpty()) {
      unknownRuns.add(run);
    }
  }

  private void assign(Run run, String team, ResourceVector demand) {
    run.team = team;
    run.teamDemand = demand;
    if (!team.isEmpty()) {
      ledger.booked(team, demand);
    }
  }

  /** Removes a run that is certainly over. */
  void released(Run run) {
    unknownRuns.remove(run);
    if (!run.team.isEmpty()) {
      ledger.released(run.team, run.teamDemand);
    }
  }

  /** Adds what may run of a job that has ended. */
  void jobEnded(EndedRecord record) {
    for (TeamRuns runs : record.teamRuns()) {
      endedMayRun.merge(runs.team(), runs.mayRun(), TeamLedger::sum);
      endedMayFill.merge(runs.team(), runs.mayFill(), TeamLedger::sum);
    }
  }

  /** Assigns all runs to their teams, once all jobs that have ended are known. */
  void endedJobsLoaded() {
    endedJobsLoaded = true;
    List<Run> unknown = List.copyOf(unknownRuns);
    unknownRuns.clear();
    unknown.forEach(this::booked);
  }

  /** Prepares a scheduling pass: bounds what runs unseen, and keeps room for gangs that wait. */
  void beginPass(Fleet fleet) {
    if (!caps.exist()) {
      return;
    }
    long now = now();
    boolean unreported = fleet.mayHaveUnreportedRuns();
    if (!unreported) {
      endedMayRun.clear();
      endedMayFill.clear();
    }
    boolean unseen = unreported || !unknownRuns.isEmpty();
    ledger.inherit(unseen ? unseenBounds(fleet, now) : Map.of());
    ledger.clearReservations();
    heldGangs.values().removeIf(step -> !waits(step));
    heldGangs.forEach(
        (team, step) -> {
          if (now - step.heldSinceMillis >= GANG_OVERTAKEN_FOR.toMillis()) {
            ledger.reserve(team, step.spec.demand(), step.tasks.size());
          }
        });
  }

  /** Returns whether a gang still waits and may start under the cap in force. */
  private boolean waits(Step step) {
    return !step.job.state.ended()
        && !step.hasRuns()
        && step.hasWaitingTasks()
        && ledger.fitsCap(step.job.order.team(), step.spec.demand(), step.tasks.size());
  }

  private Map<String, ResourceVector> unseenBounds(Fleet fleet, long nowMillis) {
    ResourceVector hidden = hiddenCapacity(fleet, nowMillis);
    Map<String, ResourceVector> tasks = new HashMap<>(endedMayRun);
    Map<String, ResourceVector> filling = new HashMap<>(endedMayFill);
    for (Job job : jobs.open()) {
      if (job.epoch < ports.term().epoch() && !job.order.team().isEmpty()) {
        addUnfinished(job, tasks, filling);
      }
    }
    Map<String, ResourceVector> bounds = new HashMap<>();
    for (String team : caps.names()) {
      ResourceVector bound = hidden;
      if (endedJobsLoaded) {
        bound = smaller(hidden, tasks.getOrDefault(team, ResourceVector.ZERO));
      }
      // Filling tasks occupy no processors, so the capacity of a worker does not limit them.
      bounds.put(team, TeamLedger.sum(bound, filling.getOrDefault(team, ResourceVector.ZERO)));
    }
    return bounds;
  }

  /** Returns what may run on workers that have not reported, and of which the team is unknown. */
  private ResourceVector hiddenCapacity(Fleet fleet, long nowMillis) {
    ResourceVector sum = ResourceVector.ZERO;
    for (Worker worker : fleet.all()) {
      if (worker.mayHaveUnreportedRuns(nowMillis)) {
        sum = TeamLedger.sum(sum, worker.free());
      }
    }
    for (Run run : unknownRuns) {
      sum = TeamLedger.sum(sum, run.booked);
    }
    return sum;
  }

  private static void addUnfinished(
      Job job, Map<String, ResourceVector> tasks, Map<String, ResourceVector> filling) {
    for (List<Step> steps : job.occurrences.values()) {
      for (Step step : steps) {
        ResourceVector unfinished = TeamLedger.product(step.spec.demand(), step.waiting());
        (step.spec.fills() ? filling : tasks).merge(job.order.team(), unfinished, TeamLedger::sum);
      }
    }
  }

  private static ResourceVector smaller(ResourceVector one, ResourceVector other) {
    return new ResourceVector(
        Math.min(one.millicores(), other.millicores()),
        Math.min(one.memoryBytes(), other.memoryBytes()),
        Math.min(one.accelerators(), other.accelerators()));
  }

  /** Returns whether a waiting step has room under the cap of its team. */
  boolean hasRoom(Step step) {
    int tasks = step.spec.gang() ? step.tasks.size() : 1;
    String team = step.job.order.team();
    return team.isEmpty() || ledger.mayStart(team, step.spec.demand(), tasks);
  }

  /** Returns how many waiting tasks of a step may start now; all or none for a gang. */
  int startable(Step step) {
    String team = step.job.order.team();
    if (team.isEmpty()) {
      return TeamLedger.UNLIMITED;
    }
    int startable = step.spec.gang() ? startableGang(step) : startableTasks(step);
    if (startable == 0) {
      ports.metrics().counter("team.held").inc();
      logAtCap(team, step);
    }
    return startable;
  }

  private int startableGang(Step step) {
    String team = step.job.order.team();
    boolean first = heldGangs.get(team) == step;
    int tasks = step.tasks.size();
    boolean fits =
        first
            ? ledger.mayStart(team, step.spec.demand(), tasks)
            : ledger.startable(team, step.spec.demand()) >= tasks;
    if (!fits && !step.job.excess && ledger.fitsCap(team, step.spec.demand(), tasks)) {
      hold(step);
    }
    return fits ? tasks : 0;
  }

  private void hold(Step step) {
    boolean first = heldGangs.putIfAbsent(step.job.order.team(), step) == null;
    if (first && step.heldSinceMillis < 0) {
      step.heldSinceMillis = now();
    }
  }

  private int startableTasks(Step step) {
    String team = step.job.order.team();
    int startable = ledger.startable(team, step.spec.demand());
    if (startable > 0 || !mayTakeReservedRoom(step)) {
      return startable;
    }
    return ledger.mayStart(team, step.spec.demand(), 1) ? 1 : 0;
  }

  private boolean mayTakeReservedRoom(Step step) {
    Job job = step.job;
    Step gang = heldGangs.get(job.order.team());
    long now = now();
    return gang != null
        && now - gang.heldSinceMillis < GANG_YIELDS_FOR.toMillis()
        && !job.hasRuns()
        && job.idleSinceMillis >= 0
        && now - Math.max(job.idleSinceMillis, step.readyAtMillis) >= MAX_JOB_IDLE.toMillis()
        && ledger.usedPermille(job.order.team()) < HALF_PERMILLE;
  }

  /** Gives up the room kept for a gang that was let through, if it waits for approvals only. */
  void gangScheduled(Step step) {
    boolean hasPlan = !step.plannedWorkers.isEmpty() || !step.claimedWorkers.isEmpty();
    if (!hasPlan) {
      heldGangs.remove(step.job.order.team(), step);
    }
  }

  private void logAtCap(String team, Step step) {
    long now = now();
    Long last = loggedMillis.get(team);
    if (last != null && now - last < LOG_INTERVAL.toMillis()) {
      return;
    }
    loggedMillis.put(team, now);
    ResourceVector running = ledger.running(team);
    ports
        .log()
        .event(
            "team-at-cap",
            team,
            "step",
            step.name,
            "waiting",
            step.waiting(),
            "capMillicores",
            caps.cap(team).millicores(),
            "runningMillicores",
            running.millicores(),
            "unseenMillicores",
            running.millicores() - ledger.knownRuns(team).millicores(),
            "usedPermille",
            ledger.usedPermille(team));
  }

  /** Records how much of their caps the teams use. */
  void measure() {
    if (!caps.exist()) {
      return;
    }
    for (String team : caps.names()) {
      ports.metrics().histogram("team.used.permille").update(ledger.usedPermille(team));
    }
  }

  private long now() {
    return ports.clock().millis();
  }
}
