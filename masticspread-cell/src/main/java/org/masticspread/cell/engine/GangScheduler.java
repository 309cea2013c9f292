package org.masticspread.cell.engine;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.masticspread.cell.policy.CandidateWorker;
import org.masticspread.cell.policy.Forecast;
import org.masticspread.cell.policy.GangPlan;
import org.masticspread.cell.policy.GangWaitPolicy;
import org.masticspread.cell.policy.Placement;
import org.masticspread.model.cell.QueueRule;

/**
 * Starts gangs, and reserves capacity and requests tickets for those that cannot start yet.
 * Confined to the cell's thread.
 */
final class GangScheduler {
  /** A gang keeps its plan unless another one lets it end at least this much earlier. */
  private static final Duration PLAN_SWITCH_THRESHOLD = Duration.ofMillis(250);

  /**
   * Ratio between the slots asked about and those that are needed by the learned share of approved
   * workers.
   */
  private static final double SLOT_OVERREQUEST_FACTOR = 2.0;

  /** Weight of a slot on a slow worker, since a gang is as slow as its slowest member. */
  private static final double SLOW_WORKER_WEIGHT = 0.4;

  /** Minimum number of workers asked about; small gangs end before a second call would pay off. */
  private static final int MIN_WORKERS_ASKED = 10;

  /** Interval of searches among all workers; in between, a gang considers those of its plan. */
  private static final Duration SEARCH_INTERVAL = Duration.ofMillis(100);

  /** Total wait of a planned gang beyond which it asks about further workers. */
  private static final Duration ASK_MORE_AFTER = Duration.ofMillis(800);

  /** Interval of log events about why the same gang has not started. */
  private static final Duration HOLD_LOG_INTERVAL = Duration.ofMillis(500);

  /** Spare slots for which tickets are requested, as a share of the tasks of a gang. */
  private static final double SPARE_SLOT_SHARE = 0.5;

  /** Maximum time for which a gang keeps capacity reserved while it requests tickets. */
  private static final Duration MAX_CLAIM_DURATION = Duration.ofSeconds(3);

  /** How long a gang may be incomplete; members of a broken gang normally end sooner. */
  private static final Duration INCOMPLETE_GANG_TIMEOUT = Duration.ofMillis(600);

  /** Why a gang has not started in a pass. */
  private enum HoldReason {
    /** The workers known to be approved cannot run all its tasks at the same time. */
    TOO_FEW_APPROVED,
    /** Its workers have too little free capacity yet; their capacity is reserved for it. */
    ROOM_LATER,
    /** As above, but nothing is reserved, since other gangs keep too much capacity idle. */
    ROOM_LATER_NOT_KEPT,
    /** There is free capacity, but some tickets have expired; the capacity is reserved for it. */
    TICKETS_LAPSED,
    /** As above, but nothing is reserved until the tickets arrive. */
    TICKETS_LAPSED_NOT_KEPT
  }

  private final CellPorts ports;
  private final Cell cell;
  private final Launcher launcher;
  private final Approvals approvals;

  GangScheduler(CellPorts ports, Cell cell, Launcher launcher, Approvals approvals) {
    this.ports = ports;
    this.cell = cell;
    this.launcher = launcher;
    this.approvals = approvals;
  }

  /**
   * Starts a gang if there is free capacity for all its tasks; otherwise reserves the capacity on
   * which it is expected to end first.
   */
  void schedule(Step step, QueueRule queue, SchedulingPass pass) {
    GangPlan.Gang gang =
        new GangPlan.Gang(
            step.spec,
            step.name,
            cell.expectedMillis(queue, step.spec),
            ports.limits().crossRackSlowdown());
    if (launchOrClaim(step, queue, gang, pass)) {
      return;
    }
    Optional<GangPlan> current = currentPlan(gang, step, queue, pass);
    if (pass.nowMillis() < step.nextSearchMillis) {
      current.ifPresent(plan -> executePlan(step, queue, plan, gang, pass));
      return;
    }
    step.nextSearchMillis = pass.nowMillis() + SEARCH_INTERVAL.toMillis();
    List<Worker> unknown = new ArrayList<>();
    List<Forecast> usable = usableForecasts(step, queue, pass, unknown);
    Optional<GangPlan> best = GangPlan.find(gang, usable, pass.nowMillis());
    if (best.isEmpty()) {
      step.plannedWorkers = List.of();
      reportHold(
          step,
          queue,
          HoldReason.TOO_FEW_APPROVED,
          pass,
          "usable",
          usable.size(),
          "unasked",
          unknown.size());
      requestMoreApprovals(step, queue, pass, unknown);
      return;
    }
    long latestEndMillis = best.get().endMillis() + PLAN_SWITCH_THRESHOLD.toMillis();
    GangPlan wanted = current.filter(k -> k.endMillis() <= latestEndMillis).orElse(best.get());
    GangPlan plan = preferImmediateStart(wanted, step, gang, usable, pass);
    boolean started = executePlan(step, queue, plan, gang, pass);
    if (step.plannedSinceMillis < 0) {
      step.plannedSinceMillis = pass.nowMillis();
    }
    if (!started && plan.startMillis() - step.plannedSinceMillis > ASK_MORE_AFTER.toMillis()) {
      requestMoreApprovals(step, queue, pass, unknown);
    }
  }

  /**
   * Returns the given plan, or a plan that starts now if waiting for a later start does not pay.
   */
  private static GangPlan preferImmediateStart(
      GangPlan plan, Step step, GangPlan.Gang gang, List<Forecast> usable, SchedulingPass pass) {
    long now = pass.nowMillis();
    boolean later = plan.startMillis() > now;
    Optional<GangPlan> immediate = later ? GangPlan.findNow(gang, usable, now) : Optional.of(plan);
    if (immediate.isEmpty()) {
      return plan;
    }
    if (step.startableSinceMillis < 0) {
      step.startableSinceMillis = now;
    }
    boolean waits =
        later && GangWaitPolicy.shouldWait(immediate.get(), plan, now - step.startableSinceMillis);
    return waits ? plan : immediate.get();
  }

  /**
   * Starts a gang once its tickets have arrived. Until then, and until it may ask again after a
   * call without an answer, reserves capacity on the workers that it asked about.
   *
   * @return whether the gang was started or its capacity is reserved
   */
  private boolean launchOrClaim(
      Step step, QueueRule queue, GangPlan.Gang gang, SchedulingPass pass) {
    if (step.claimedWorkers.isEmpty()) {
      return false;
    }
    if (step.ticketCalls == 0) {
      Optional<GangPlan> startable = findTicketedPlan(gang, step, queue, pass);
      if (startable.isPresent()) {
        launch(step, startable.get());
        return true;
      }
    }
    boolean answered = step.ticketCalls == 0 && pass.nowMillis() >= step.nextAdviceMillis;
    boolean tooLong = pass.nowMillis() - step.claimedSinceMillis > MAX_CLAIM_DURATION.toMillis();
    Optional<GangPlan> plan =
        GangPlan.findNow(gang, forecasts(step.claimedWorkers, queue, pass), pass.nowMillis());
    if (answered || tooLong || plan.isEmpty()) {
      step.claimedWorkers = List.of();
      return false;
    }
    claimCapacity(step, queue, plan.get(), pass);
    return true;
  }

  private void claimCapacity(Step step, QueueRule queue, GangPlan plan, SchedulingPass pass) {
    HoldReason reason = HoldReason.TICKETS_LAPSED_NOT_KEPT;
    if (!step.job.excess) {
      pass.reserve(plan, step.spec);
      reason = HoldReason.TICKETS_LAPSED;
    }
    reportHold(step, queue, reason, pass, "workers", plan.workers().size());
  }

  /** Returns a plan on those workers of the previous plan that are still usable. */
  private Optional<GangPlan> currentPlan(
      GangPlan.Gang gang, Step step, QueueRule queue, SchedulingPass pass) {
    if (step.plannedWorkers.isEmpty()) {
      return Optional.empty();
    }
    return GangPlan.find(gang, forecasts(step.plannedWorkers, queue, pass), pass.nowMillis());
  }

  private static List<Forecast> forecasts(
      List<Worker> workers, QueueRule queue, SchedulingPass pass) {
    return workers.stream()
        .filter(worker -> pass.usable(queue, worker))
        .map(pass::forecastOf)
        .toList();
  }

  /** Returns the forecasts of approved workers, and collects the workers not asked about yet. */
  private List<Forecast> usableForecasts(
      Step step, QueueRule queue, SchedulingPass pass, List<Worker> unknown) {
    List<Forecast> usable = new ArrayList<>();
    for (Worker worker : pass.usableWorkers(queue)) {
      if (!Scheduler.meetsRequirements(step, worker)) {
        continue;
      }
      if (approvals.approved(step, queue, worker)) {
        usable.add(pass.forecastOf(worker));
      } else if (approvals.approvalOf(step, worker) == null) {
        unknown.add(worker);
      }
    }
    return usable;
  }

  /**
   * Starts a gang by a plan, or reserves the capacity of the plan and requests tickets.
   *
   * @return whether the gang was started
   */
  private boolean executePlan(
      Step step, QueueRule queue, GangPlan plan, GangPlan.Gang gang, SchedulingPass pass) {
    List<Worker> unticketed = workersWithoutTicket(step, queue, plan);
    boolean startsNow = plan.startMillis() <= pass.nowMillis();
    if (startsNow) {
      Optional<GangPlan> startable =
          unticketed.isEmpty() ? Optional.of(plan) : findTicketedPlan(gang, step, queue, pass);
      if (startable.isPresent()) {
        launch(step, startable.get());
        return true;
      }
      List<Worker> asked = withSpares(step, queue, plan, pass);
      if (approvals.requestTickets(step, queue, asked, true)) {
        step.claimedWorkers = asked;
        step.claimedSinceMillis = pass.nowMillis();
        claimCapacity(step, queue, plan, pass);
        return false;
      }
    }
    boolean reserved = !step.job.excess && pass.tryReserve(plan, step.spec, queue);
    HoldReason reason =
        startsNow
            ? (reserved ? HoldReason.TICKETS_LAPSED : HoldReason.TICKETS_LAPSED_NOT_KEPT)
            : (reserved ? HoldReason.ROOM_LATER : HoldReason.ROOM_LATER_NOT_KEPT);
    reportHold(
        step,
        queue,
        reason,
        pass,
        "startsInMs",
        plan.startMillis() - pass.nowMillis(),
        "workers",
        plan.workers().size(),
        "withoutTicket",
        unticketed.size());
    if (!reserved) {
      step.plannedWorkers = List.of();
      return false;
    }
    List<Worker> workers = workersOf(plan);
    if (step.plannedWorkers.isEmpty()) {
      ports
          .log()
          .event(
              "gang-waits",
              step.name,
              "startsInMs",
              plan.startMillis() - pass.nowMillis(),
              "workers",
              workers.size(),
              "withoutTicket",
              unticketed.size());
    }
    step.plannedWorkers = workers;
    requestTicketsAhead(step, queue, pass, plan, unticketed);
    return false;
  }

  /** Counts and logs why a gang has not started. */
  private void reportHold(
      Step step, QueueRule queue, HoldReason reason, SchedulingPass pass, Object... facts) {
    String name = reason.name().toLowerCase(Locale.ROOT);
    ports.metrics().counter(MetricRegistry.name("gang.holds", name)).inc();
    long now = pass.nowMillis();
    if (now - step.holdLoggedMillis < HOLD_LOG_INTERVAL.toMillis()) {
      return;
    }
    step.holdLoggedMillis = now;
    int free = 0;
    int unreserved = 0;
    for (Forecast forecast : usableForecasts(step, queue, pass, new ArrayList<>())) {
      free += Placement.slots(forecast.worker(), step.spec, step.name);
      unreserved += forecast.slotsAt(step.spec, step.name, now);
    }
    List<Object> details = new ArrayList<>(List.of("reason", name));
    details.addAll(List.of("readyForMs", now - step.readyAtMillis));
    details.addAll(List.of("lateMs", now - step.latestStartMillis));
    details.addAll(List.of("adviceCalls", step.approvalCalls, "ticketCalls", step.ticketCalls));
    details.addAll(List.of("tasks", step.tasks.size()));
    details.addAll(List.of("placesFree", free, "placesUnreserved", unreserved));
    details.addAll(List.of(facts));
    ports.log().event("gang-holds", step.name, details.toArray());
  }

  /** Returns a plan that starts now on workers with valid tickets, if there is one. */
  private Optional<GangPlan> findTicketedPlan(
      GangPlan.Gang gang, Step step, QueueRule queue, SchedulingPass pass) {
    List<Forecast> ticketed =
        usableForecasts(step, queue, pass, new ArrayList<>()).stream()
            .filter(f -> approvals.mayStart(step, queue, (Worker) f.worker(), pass.nowMillis()))
            .toList();
    return GangPlan.findNow(gang, ticketed, pass.nowMillis());
  }

  private List<Worker> workersWithoutTicket(Step step, QueueRule queue, GangPlan plan) {
    List<Worker> workers = new ArrayList<>();
    for (CandidateWorker candidate : plan.workers()) {
      if (!approvals.mayStart(step, queue, (Worker) candidate, plan.startMillis())) {
        workers.add((Worker) candidate);
      }
    }
    return workers;
  }

  /** Requests tickets so early that they arrive before the planned start. */
  private void requestTicketsAhead(
      Step step, QueueRule queue, SchedulingPass pass, GangPlan plan, List<Worker> unticketed) {
    if (unticketed.isEmpty()) {
      return;
    }
    List<Worker> workers = workersOf(plan);
    long callMillis = queue.advice().orElseThrow().callTime(workers.size()).toMillis();
    if (plan.startMillis() - pass.nowMillis() <= callMillis + PLAN_SWITCH_THRESHOLD.toMillis()) {
      approvals.requestTickets(step, queue, withSpares(step, queue, plan, pass), false);
    }
  }

  /** Returns the workers of a plan and spare ones, in case some are taken before the answer. */
  private List<Worker> withSpares(Step step, QueueRule queue, GangPlan plan, SchedulingPass pass) {
    List<Worker> workers = new ArrayList<>(workersOf(plan));
    List<ScoredWorker> candidates = new ArrayList<>();
    for (Forecast forecast : usableForecasts(step, queue, pass, new ArrayList<>())) {
      int slots = forecast.slotsAt(step.spec, step.name, plan.startMillis());
      if (slots > 0 && !workers.contains((Worker) forecast.worker())) {
        candidates.add(new ScoredWorker((Worker) forecast.worker(), slots));
      }
    }
    candidates.sort(Comparator.comparingDouble(candidate -> -candidate.score));
    double spareSlots = 0;
    for (ScoredWorker candidate : candidates) {
      boolean enough = spareSlots >= SPARE_SLOT_SHARE * step.tasks.size();
      if (enough || workers.size() >= Approvals.MAX_WORKERS_PER_CALL) {
        break;
      }
      workers.add(candidate.worker);
      spareSlots += candidate.score;
    }
    return workers;
  }

  private static List<Worker> workersOf(GangPlan plan) {
    return plan.workers().stream().map(Worker.class::cast).toList();
  }

  /** Asks about the workers expected to have the most free slots when the answer arrives. */
  private void requestMoreApprovals(
      Step step, QueueRule queue, SchedulingPass pass, List<Worker> unknown) {
    if (unknown.isEmpty() || queue.advice().isEmpty() || step.approvalCalls > 0) {
      return;
    }
    long answerMillis =
        pass.nowMillis() + queue.advice().get().callTime(Approvals.WORKERS_PER_CALL).toMillis();
    double fastest = unknown.stream().mapToDouble(Worker::speed).max().orElse(1);
    List<ScoredWorker> candidates = new ArrayList<>();
    for (Worker worker : unknown) {
      int slots = pass.forecastOf(worker).slotsAt(step.spec, step.name, answerMillis);
      slots -= worker.awaitedByGang() ? slots / 2 : 0;
      double score =
          slots
              * (worker.speed() >= GangPlan.SIMILAR_SPEED_RATIO * fastest ? 1 : SLOW_WORKER_WEIGHT);
      candidates.add(new ScoredWorker(worker, score));
    }
    candidates.sort(Comparator.comparingDouble(candidate -> -candidate.score));
    double wantedSlots =
        SLOT_OVERREQUEST_FACTOR * step.tasks.size() / approvals.approvedShare(queue);
    List<Worker> asked = new ArrayList<>();
    double foundSlots = 0;
    for (ScoredWorker candidate : candidates) {
      if (foundSlots < wantedSlots || asked.size() < MIN_WORKERS_ASKED) {
        asked.add(candidate.worker);
        foundSlots += candidate.score;
      }
    }
    approvals.requestApprovals(step, queue, asked);
  }

  /** A worker and the weighted number of slots that it offers a gang. */
  private record ScoredWorker(Worker worker, double score) {}

  private void launch(Step step, GangPlan plan) {
    long number = step.nextRunNumber(cell.runNumberBase());
    List<Run> runs = new ArrayList<>();
    for (int i = 0; i < plan.placements().size(); i++) {
      Worker worker = (Worker) plan.placements().get(i).worker();
      Run run = launcher.book(step.tasks.get(i), worker, number);
      run.expectedMillis = plan.endMillis() - plan.startMillis();
      plan.placements().get(i).start(step.spec.booked(), plan.endMillis());
      runs.add(run);
    }
    step.plannedWorkers = List.of();
    step.claimedWorkers = List.of();
    step.plannedSinceMillis = -1;
    step.startableSinceMillis = -1;
    for (Run run : runs) {
      launcher.start(run, approvals.ticket(step, run.worker));
    }
  }

  /**
   * Stops a gang of which only some members run, as may happen after a failover. Such a gang makes
   * no progress, and is started again as a whole.
   */
  void stopIncompleteGang(Step step) {
    boolean incomplete = step.hasRuns() && step.hasWaitingTasks();
    if (!incomplete) {
      step.incompleteSinceMillis = -1;
      return;
    }
    if (step.incompleteSinceMillis < 0) {
      step.incompleteSinceMillis = now();
    }
    if (now() - step.incompleteSinceMillis >= INCOMPLETE_GANG_TIMEOUT.toMillis()) {
      for (Task member : step.tasks) {
        if (member.run() != null && !member.run().stopRequested) {
          launcher.stop(member.run(), "the gang is incomplete");
        }
      }
    }
  }

  private long now() {
    return ports.clock().millis();
  }
}
