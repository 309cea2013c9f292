package org.masticspread.cell.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.masticspread.cell.policy.CandidateWorker;
import org.masticspread.cell.policy.Placement;
import org.masticspread.cell.policy.StartOrder;
import org.masticspread.cell.policy.StartOrder.Candidate;
import org.masticspread.model.cell.QueueRule;

/**
 * Starts waiting steps in order, and requests the advice that they need first. Confined to the
 * cell's thread.
 */
final class Scheduler {
  /** How long a computed latest start is used; expected run times change slowly. */
  private static final Duration LATEST_START_CACHE_TTL = Duration.ofSeconds(1);

  /** Workers asked about for each waiting task, since some are not approved. */
  private static final int WORKERS_ASKED_PER_TASK = 3;

  /** Minimum number of workers asked about. */
  private static final int MIN_WORKERS_ASKED = 8;

  /**
   * Idle time after which a job may use reserved capacity, while half of the capacity is free. A
   * job may be idle for 3 s in all, including the time for advice.
   */
  private static final Duration MAX_JOB_IDLE = Duration.ofMillis(1500);

  private final CellPorts ports;
  private final JobStore jobs;
  private final Fleet fleet;
  private final Cell cell;
  private final Launcher launcher;
  private final Approvals approvals;
  private final GangScheduler gangs;
  private final TeamQuotas quotas;

  Scheduler(
      CellPorts ports,
      JobStore jobs,
      Fleet fleet,
      Cell cell,
      Launcher launcher,
      TeamQuotas quotas) {
    this.quotas = quotas;
    this.ports = ports;
    this.jobs = jobs;
    this.fleet = fleet;
    this.cell = cell;
    this.launcher = launcher;
    this.approvals = new Approvals(ports, cell, fleet);
    this.gangs = new GangScheduler(ports, cell, launcher, approvals);
  }

  /** Starts the steps for which there is free capacity, and requests advice for the others. */
  void runPass() {
    long now = now();
    boolean mayHaveUnreportedRuns = fleet.mayHaveUnreportedRuns();
    List<WaitingStep> waiting = new ArrayList<>();
    for (Job job : jobs.open()) {
      boolean mayRunElsewhere = mayHaveUnreportedRuns && job.epoch < ports.term().epoch();
      Optional<QueueRule> queue = cell.queue(job);
      if (job.durable && !mayRunElsewhere && queue.isPresent()) {
        job.updateIdleTime(now);
        collectWaitingSteps(job, queue.get(), waiting);
      }
    }
    Comparator<Candidate> order = StartOrder.at(now);
    waiting.sort(Comparator.comparing(WaitingStep::candidate, order));
    SchedulingPass pass = new SchedulingPass(fleet, now);
    quotas.beginPass(fleet);
    if (!cell.teams().isEmpty()) {
      waiting = byFairShare(waiting, order, pass);
    }
    for (WaitingStep next : waiting) {
      int startable = quotas.startable(next.step);
      if (startable == 0) {
        continue;
      }
      if (next.step.spec.gang()) {
        gangs.schedule(next.step, next.queue, pass);
        quotas.gangScheduled(next.step);
      } else {
        startTasks(next, startable, pass);
      }
    }
  }

  /** Returns the steps in an order that respects the weighted shares of their teams. */
  private List<WaitingStep> byFairShare(
      List<WaitingStep> waiting, Comparator<Candidate> order, SchedulingPass pass) {
    Map<String, List<Step>> byEndpoint = new HashMap<>();
    for (WaitingStep next : waiting) {
      if (quotas.hasRoom(next.step)) {
        byEndpoint.computeIfAbsent(next.queue.endpoint(), e -> new ArrayList<>()).add(next.step);
      }
    }
    Set<Step> beyond =
        new TeamShares(cell.teams(), pass, cell).beyondShare(byEndpoint, jobs.open());
    if (beyond.isEmpty()) {
      return waiting;
    }
    ports.metrics().counter("passes.contended").inc();
    List<WaitingStep> sorted = new ArrayList<>();
    for (WaitingStep next : waiting) {
      boolean marked = beyond.contains(next.step);
      Candidate candidate = marked ? next.candidate.withBeyondShare() : next.candidate;
      sorted.add(new WaitingStep(next.step, next.queue, candidate));
    }
    sorted.sort(Comparator.comparing(WaitingStep::candidate, order));
    return sorted;
  }

  private void collectWaitingSteps(Job job, QueueRule queue, List<WaitingStep> waiting) {
    for (List<Step> steps : job.occurrences.values()) {
      for (Step step : steps) {
        if (step.done() || !job.ready(step) || !due(step)) {
          continue;
        }
        if (step.spec.gang()) {
          gangs.stopIncompleteGang(step);
        }
        boolean startable = step.spec.gang() ? !step.hasRuns() : step.hasWaitingTasks();
        if (startable) {
          if (step.readyAtMillis < 0) {
            step.readyAtMillis = now();
          }
          waiting.add(new WaitingStep(step, queue, candidate(step, queue)));
        }
      }
    }
  }

  private boolean due(Step step) {
    return !step.job.order.recurrence().timed()
        || !cell.timeOfDay().isBefore(step.job.order.recurrence().due(step.occurrence));
  }

  private Candidate candidate(Step step, QueueRule queue) {
    long now = now();
    boolean computed = step.latestStartComputedMillis >= 0;
    if (!computed || now - step.latestStartComputedMillis > LATEST_START_CACHE_TTL.toMillis()) {
      step.latestStartMillis = latestStart(step, queue);
      step.latestStartComputedMillis = now;
    }
    boolean holdsReservation = !step.job.excess && !step.claimedWorkers.isEmpty();
    return new Candidate(
        queue.priority(),
        step.job.excess,
        false,
        holdsReservation,
        step.latestStartMillis,
        step.name);
  }

  private long latestStart(Step step, QueueRule queue) {
    long path = Job.criticalPathMillis(step.job.order, spec -> cell.expectedMillis(queue, spec));
    long objective = (long) (queue.stretch() * path) + queue.target().toMillis();
    long begin = step.job.acceptedMillis;
    if (step.job.order.recurrence().timed()) {
      Duration overdue =
          Duration.between(step.job.order.recurrence().due(step.occurrence), cell.timeOfDay());
      begin = now() - overdue.toMillis();
    }
    return begin + objective - cell.expectedMillis(queue, step.spec);
  }

  /** Starts tasks of a step, at most as many as its team may start. */
  private void startTasks(WaitingStep next, int startable, SchedulingPass pass) {
    Step step = next.step;
    boolean urgent = next.queue.priority() == 0;
    long runMillis = cell.expectedMillis(next.queue, step.spec);
    List<Worker> allowed = approvals.startableWorkers(step, next.queue, pass);
    List<Worker> candidates = workersWithCapacity(step, allowed, runMillis, pass, false);
    boolean ignoresReservations = candidates.isEmpty() && idleTooLong(next, pass);
    if (ignoresReservations) {
      candidates = workersWithCapacity(step, allowed, runMillis, pass, true);
    }
    int remaining = Math.min(step.waiting(), startable);
    for (Task task : step.tasks) {
      if (remaining == 0) {
        break;
      }
      if (!task.waiting()) {
        continue;
      }
      Optional<CandidateWorker> chosen =
          Placement.chooseWorker(
              candidates, step.spec, step.name, urgent, ports.limits().crossRackSlowdown());
      if (chosen.isEmpty()) {
        break;
      }
      Worker worker = (Worker) chosen.get();
      Run run = launcher.book(task, worker, step.nextRunNumber(cell.runNumberBase()));
      run.expectedMillis = (long) (runMillis * cell.slowdown(worker, step.spec));
      pass.recordStart(worker, step.spec.booked(), now() + run.expectedMillis);
      if (!hasCapacity(step, worker, runMillis, pass)) {
        candidates.remove(worker);
      }
      launcher.start(run, approvals.ticket(step, worker));
      remaining--;
      if (ignoresReservations) {
        long idle = pass.nowMillis() - step.job.idleSinceMillis;
        ports.log().event("task-takes-kept-room", task.name, "worker", worker.id(), "idleMs", idle);
        step.job.idleSinceMillis = -1;
        ignoresReservations = false;
        break;
      }
    }
    if (remaining > 0 && approvals.mayRequestApprovals(step, next.queue)) {
      List<Worker> askable =
          workersWithCapacity(
              step, pass.usableWorkers(next.queue), runMillis, pass, ignoresReservations);
      requestApprovals(next, askable, remaining);
    }
  }

  /** Returns the workers with free capacity for a task, with or without respect to reservations. */
  private List<Worker> workersWithCapacity(
      Step step,
      List<Worker> workers,
      long runMillis,
      SchedulingPass pass,
      boolean ignoresReservations) {
    List<Worker> candidates = new ArrayList<>();
    for (Worker worker : workers) {
      if (ignoresReservations
          ? hasCapacity(step, worker)
          : hasCapacity(step, worker, runMillis, pass)) {
        candidates.add(worker);
      }
    }
    return candidates;
  }

  /**
   * Returns whether a job has been idle for so long that its first task may take capacity reserved
   * for a gang. While at least half of the capacity is in use, the job keeps waiting.
   */
  private boolean idleTooLong(WaitingStep next, SchedulingPass pass) {
    Job job = next.step.job;
    long since = Math.max(job.idleSinceMillis, next.step.readyAtMillis);
    return job.idleSinceMillis >= 0
        && pass.nowMillis() - since >= MAX_JOB_IDLE.toMillis()
        && 2 * fleet.freeMillicores(next.queue.endpoint())
            > fleet.capacityMillicores(next.queue.endpoint());
  }

  private static boolean hasCapacity(Step step, Worker worker) {
    return step.spec.booked().fitsIn(worker.free())
        && meetsRequirements(step, worker)
        && Placement.slots(worker, step.spec, step.name) > 0;
  }

  private boolean hasCapacity(Step step, Worker worker, long runMillis, SchedulingPass pass) {
    return hasCapacity(step, worker)
        && pass.admits(
            worker,
            step.spec.booked(),
            now() + (long) (runMillis * cell.slowdown(worker, step.spec)));
  }

  private void requestApprovals(WaitingStep next, List<Worker> candidates, int tasks) {
    Step step = next.step;
    List<Worker> unapproved = new ArrayList<>();
    for (Worker worker : candidates) {
      Step.Approval approval = approvals.approvalOf(step, worker);
      boolean expired =
          approval != null
              && approval.approved()
              && !approvals.mayStart(step, next.queue, worker, now());
      if (approval == null || expired) {
        unapproved.add(worker);
      }
    }
    Map<Worker, Double> slowdowns = new HashMap<>();
    unapproved.forEach(worker -> slowdowns.put(worker, cell.slowdown(worker, step.spec)));
    unapproved.sort(Comparator.comparingDouble(slowdowns::get));
    int maxAsked =
        Math.min(
            Approvals.MAX_WORKERS_PER_CALL,
            Math.max(MIN_WORKERS_ASKED, tasks * WORKERS_ASKED_PER_TASK));
    if (!unapproved.isEmpty()) {
      approvals.requestApprovals(
          step, next.queue, unapproved.subList(0, Math.min(maxAsked, unapproved.size())));
    }
  }

  /** Returns whether the capacity and the labels of a worker suffice for a task of a step. */
  static boolean meetsRequirements(Step step, Worker worker) {
    String label = step.spec.label();
    return step.spec.booked().fitsIn(worker.capacity())
        && (label.isEmpty() || worker.entry.labels().contains(label));
  }

  private long now() {
    return ports.clock().millis();
  }

  /** A step that can start, with its place in the start order. */
  private record WaitingStep(Step step, QueueRule queue, Candidate candidate) {}
}
