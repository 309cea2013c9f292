package org.masticspread.cell.engine;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.masticspread.cell.policy.Forecast;
import org.masticspread.cell.policy.GangPatience;
import org.masticspread.cell.policy.GangPlan;
import org.masticspread.cell.policy.Placement;
import org.masticspread.cell.policy.Room;
import org.masticspread.model.cell.QueueRule;

/** Starts gangs, and keeps room and tickets for those that wait. Confined to the cell. */
final class Gangs {
  /** A gang keeps the workers that it waits for unless others let it end this much sooner. */
  private static final Duration WORTH_CHANGING = Duration.ofMillis(250);

  /** Workers asked about beyond those that the learned share of approved ones makes needed. */
  private static final double ASKED_IN_EXCESS = 2.0;

  /** What room on a slow worker is worth to a gang, which is as slow as its slowest member. */
  private static final double SLOW_VALUE = 0.4;

  /** Small gangs are over before a second call would pay. */
  private static final int ASKED_AT_LEAST = 10;

  /** Between two searches among all workers; in between a gang keeps to those of its plan. */
  private static final Duration SEARCH_EVERY = Duration.ofMillis(100);

  /** A gang that waits longer than this in all asks about further workers. */
  private static final Duration LONG_WAIT = Duration.ofMillis(800);

  /** Between two lines of the log that tell why the same gang has not started. */
  private static final Duration HOLD_TOLD_EVERY = Duration.ofMillis(500);

  /** Places asked for beyond those of a plan, for each of its tasks. */
  private static final double SPARE_SHARE = 0.5;

  /** A gang keeps the room for which it asks for tickets so long at most. */
  private static final Duration LONGEST_CLAIM = Duration.ofSeconds(3);

  /** Members of a broken gang end by themselves sooner than this. */
  private static final Duration PARTIAL = Duration.ofMillis(600);

  /** Why a gang has not started in a pass. */
  private enum Hold {
    /** Too few of the workers that it may use, by what is known, would ever have room for it. */
    TOO_FEW_APPROVED,
    /** Its workers have no room yet; their room is kept for it. */
    ROOM_LATER,
    /** Its workers have no room yet, and their room is not kept: others keep too much idle. */
    ROOM_LATER_NOT_KEPT,
    /** It has room now, and some of its tickets have lapsed. */
    TICKETS_LAPSED,
    /** As before, and the room is not kept until the tickets are there. */
    TICKETS_LAPSED_NOT_KEPT
  }

  private final CellPorts ports;
  private final Cell cell;
  private final Launcher launcher;
  private final Approvals approvals;

  Gangs(CellPorts ports, Cell cell, Launcher launcher, Approvals approvals) {
    this.ports = ports;
    this.cell = cell;
    this.launcher = launcher;
    this.approvals = approvals;
  }

  /** Starts a gang if there is room for all of it; else keeps the room that it will have first. */
  void start(Step step, QueueRule queue, Outlook outlook) {
    GangPlan.Gang gang =
        new GangPlan.Gang(
            step.spec,
            step.name,
            cell.expectedMillis(queue, step.spec),
            ports.limits().crossRackSlowdown());
    if (launchOrClaim(step, queue, gang, outlook)) {
      return;
    }
    Optional<GangPlan> kept = keptPlan(gang, step, queue, outlook);
    if (outlook.nowMillis() < step.searchAgainMillis) {
      kept.ifPresent(plan -> follow(step, queue, plan, gang, outlook));
      return;
    }
    step.searchAgainMillis = outlook.nowMillis() + SEARCH_EVERY.toMillis();
    List<Worker> unknown = new ArrayList<>();
    List<Forecast> usable = usable(step, queue, outlook, unknown);
    Optional<GangPlan> best = GangPlan.find(gang, usable, outlook.nowMillis());
    if (best.isEmpty()) {
      step.planned = List.of();
      hold(
          step,
          queue,
          Hold.TOO_FEW_APPROVED,
          outlook,
          "usable",
          usable.size(),
          "unasked",
          unknown.size());
      askMore(step, queue, outlook, unknown);
      return;
    }
    long limit = best.get().endMillis() + WORTH_CHANGING.toMillis();
    GangPlan wanted = kept.filter(k -> k.endMillis() <= limit).orElse(best.get());
    GangPlan plan = unlessImpatient(wanted, step, gang, usable, outlook);
    boolean started = follow(step, queue, plan, gang, outlook);
    if (step.plannedSinceMillis < 0) {
      step.plannedSinceMillis = outlook.nowMillis();
    }
    if (!started && plan.startMillis() - step.plannedSinceMillis > LONG_WAIT.toMillis()) {
      askMore(step, queue, outlook, unknown);
    }
  }

  /** Returns a plan, or in place of one that starts later one that starts now. */
  private static GangPlan unlessImpatient(
      GangPlan plan, Step step, GangPlan.Gang gang, List<Forecast> usable, Outlook outlook) {
    long now = outlook.nowMillis();
    boolean later = plan.startMillis() > now;
    Optional<GangPlan> atOnce = later ? GangPlan.findNow(gang, usable, now) : Optional.of(plan);
    if (atOnce.isEmpty()) {
      return plan;
    }
    if (step.roomSinceMillis < 0) {
      step.roomSinceMillis = now;
    }
    boolean waits = later && GangPatience.waits(atOnce.get(), plan, now - step.roomSinceMillis);
    return waits ? plan : atOnce.get();
  }

  /**
   * Starts a gang when the answer about its tickets is there; until then, and until it may ask
   * again after a call without an answer, keeps room on the workers that it asked about.
   *
   * @return whether it was started or its room is kept
   */
  private boolean launchOrClaim(Step step, QueueRule queue, GangPlan.Gang gang, Outlook outlook) {
    if (step.claimed.isEmpty()) {
      return false;
    }
    if (step.ticketCalls == 0) {
      Optional<GangPlan> startable = startNow(gang, step, queue, outlook);
      if (startable.isPresent()) {
        launch(step, startable.get());
        return true;
      }
    }
    boolean answered = step.ticketCalls == 0 && outlook.nowMillis() >= step.adviceNotBeforeMillis;
    boolean tooLong = outlook.nowMillis() - step.claimedSinceMillis > LONGEST_CLAIM.toMillis();
    Optional<GangPlan> plan =
        GangPlan.findNow(gang, forecasts(step.claimed, queue, outlook), outlook.nowMillis());
    if (answered || tooLong || plan.isEmpty()) {
      step.claimed = List.of();
      return false;
    }
    claim(step, queue, plan.get(), outlook);
    return true;
  }

  private void claim(Step step, QueueRule queue, GangPlan plan, Outlook outlook) {
    outlook.claim(plan, step.spec);
    hold(step, queue, Hold.TICKETS_LAPSED, outlook, "workers", plan.workers().size());
  }

  /** Returns the plan that those workers of the former plan allow that are still usable. */
  private Optional<GangPlan> keptPlan(
      GangPlan.Gang gang, Step step, QueueRule queue, Outlook outlook) {
    if (step.planned.isEmpty()) {
      return Optional.empty();
    }
    return GangPlan.find(gang, forecasts(step.planned, queue, outlook), outlook.nowMillis());
  }

  private static List<Forecast> forecasts(List<Worker> workers, QueueRule queue, Outlook outlook) {
    return workers.stream()
        .filter(worker -> outlook.usable(queue, worker))
        .map(outlook::of)
        .toList();
  }

  private List<Forecast> usable(Step step, QueueRule queue, Outlook outlook, List<Worker> unknown) {
    List<Forecast> usable = new ArrayList<>();
    for (Worker worker : outlook.workers(queue)) {
      if (!Scheduler.fits(step, worker)) {
        continue;
      }
      if (approvals.approved(step, queue, worker)) {
        usable.add(outlook.of(worker));
      } else if (approvals.of(step, worker) == null) {
        unknown.add(worker);
      }
    }
    return usable;
  }

  /** Starts a gang by its plan, or keeps the plan's room and asks for tickets in time. */
  private boolean follow(
      Step step, QueueRule queue, GangPlan plan, GangPlan.Gang gang, Outlook outlook) {
    List<Worker> lapsed = withoutTicket(step, queue, plan);
    boolean roomNow = plan.startMillis() <= outlook.nowMillis();
    if (roomNow) {
      Optional<GangPlan> startable =
          lapsed.isEmpty() ? Optional.of(plan) : startNow(gang, step, queue, outlook);
      if (startable.isPresent()) {
        launch(step, startable.get());
        return true;
      }
      List<Worker> asked = withSpares(step, queue, plan, outlook);
      if (approvals.askForTickets(step, queue, asked, true)) {
        step.claimed = asked;
        step.claimedSinceMillis = outlook.nowMillis();
        claim(step, queue, plan, outlook);
        return false;
      }
    }
    boolean kept = outlook.keep(plan, step.spec, queue);
    Hold reason =
        roomNow
            ? (kept ? Hold.TICKETS_LAPSED : Hold.TICKETS_LAPSED_NOT_KEPT)
            : (kept ? Hold.ROOM_LATER : Hold.ROOM_LATER_NOT_KEPT);
    hold(
        step,
        queue,
        reason,
        outlook,
        "startsInMs",
        plan.startMillis() - outlook.nowMillis(),
        "workers",
        plan.workers().size(),
        "withoutTicket",
        lapsed.size());
    if (!kept) {
      step.planned = List.of();
      return false;
    }
    List<Worker> workers = workersOf(plan);
    if (step.planned.isEmpty()) {
      ports
          .log()
          .event(
              "gang-waits",
              step.name,
              "startsInMs",
              plan.startMillis() - outlook.nowMillis(),
              "workers",
              workers.size(),
              "withoutTicket",
              lapsed.size());
    }
    step.planned = workers;
    askAhead(step, queue, outlook, plan, lapsed);
    return false;
  }

  /** Counts and tells why a gang has not started. */
  private void hold(Step step, QueueRule queue, Hold reason, Outlook outlook, Object... facts) {
    String name = reason.name().toLowerCase(Locale.ROOT);
    ports.metrics().counter(MetricRegistry.name("gang.holds", name)).inc();
    long now = outlook.nowMillis();
    if (now - step.holdToldMillis < HOLD_TOLD_EVERY.toMillis()) {
      return;
    }
    step.holdToldMillis = now;
    int free = 0;
    int unreserved = 0;
    for (Forecast forecast : usable(step, queue, outlook, new ArrayList<>())) {
      free += Placement.slots(forecast.room(), step.spec, step.name);
      unreserved += forecast.slotsAt(step.spec, step.name, now);
    }
    List<Object> told = new ArrayList<>(List.of("reason", name));
    told.addAll(List.of("readyForMs", now - step.readyAtMillis));
    told.addAll(List.of("lateMs", now - step.latestStartMillis));
    told.addAll(List.of("adviceCalls", step.adviceCalls, "ticketCalls", step.ticketCalls));
    told.addAll(List.of("tasks", step.tasks.size()));
    told.addAll(List.of("placesFree", free, "placesUnreserved", unreserved));
    told.addAll(List.of(facts));
    ports.log().event("gang-holds", step.name, told.toArray());
  }

  /** Finds room for now among the workers whose tickets hold. */
  private Optional<GangPlan> startNow(
      GangPlan.Gang gang, Step step, QueueRule queue, Outlook outlook) {
    List<Forecast> ticketed =
        usable(step, queue, outlook, new ArrayList<>()).stream()
            .filter(f -> approvals.startable(step, queue, (Worker) f.room(), outlook.nowMillis()))
            .toList();
    return GangPlan.findNow(gang, ticketed, outlook.nowMillis());
  }

  private List<Worker> withoutTicket(Step step, QueueRule queue, GangPlan plan) {
    List<Worker> without = new ArrayList<>();
    for (Room room : plan.workers()) {
      if (!approvals.startable(step, queue, (Worker) room, plan.startMillis())) {
        without.add((Worker) room);
      }
    }
    return without;
  }

  /** Asks for tickets so early that they are there when the room is. */
  private void askAhead(
      Step step, QueueRule queue, Outlook outlook, GangPlan plan, List<Worker> lapsed) {
    if (lapsed.isEmpty()) {
      return;
    }
    List<Worker> workers = workersOf(plan);
    long call = queue.advice().orElseThrow().callTime(workers.size()).toMillis();
    if (plan.startMillis() - outlook.nowMillis() <= call + WORTH_CHANGING.toMillis()) {
      approvals.askForTickets(step, queue, withSpares(step, queue, plan, outlook), false);
    }
  }

  /** Adds workers with room, in place of such that are taken before the answer. */
  private List<Worker> withSpares(Step step, QueueRule queue, GangPlan plan, Outlook outlook) {
    List<Worker> workers = new ArrayList<>(workersOf(plan));
    List<Offer> offers = new ArrayList<>();
    for (Forecast forecast : usable(step, queue, outlook, new ArrayList<>())) {
      int slots = forecast.slotsAt(step.spec, step.name, plan.startMillis());
      if (slots > 0 && !workers.contains((Worker) forecast.room())) {
        offers.add(new Offer((Worker) forecast.room(), slots));
      }
    }
    offers.sort(Comparator.comparingDouble(offer -> -offer.value));
    double spare = 0;
    for (Offer offer : offers) {
      boolean enough = spare >= SPARE_SHARE * step.tasks.size();
      if (enough || workers.size() >= Approvals.MOST_WORKERS_PER_CALL) {
        break;
      }
      workers.add(offer.worker);
      spare += offer.value;
    }
    return workers;
  }

  private static List<Worker> workersOf(GangPlan plan) {
    return plan.workers().stream().map(Worker.class::cast).toList();
  }

  /** Asks about the workers that have room for most tasks by the time of the answer. */
  private void askMore(Step step, QueueRule queue, Outlook outlook, List<Worker> unknown) {
    if (unknown.isEmpty() || queue.advice().isEmpty() || step.adviceCalls > 0) {
      return;
    }
    long answered =
        outlook.nowMillis() + queue.advice().get().callTime(Approvals.WORKERS_PER_CALL).toMillis();
    double fastest = unknown.stream().mapToDouble(Worker::speed).max().orElse(1);
    List<Offer> offers = new ArrayList<>();
    for (Worker worker : unknown) {
      int slots = outlook.of(worker).slotsAt(step.spec, step.name, answered);
      slots -= worker.awaited() ? slots / 2 : 0;
      double value = slots * (worker.speed() >= GangPlan.LIKE_SPEED * fastest ? 1 : SLOW_VALUE);
      offers.add(new Offer(worker, value));
    }
    offers.sort(Comparator.comparingDouble(offer -> -offer.value));
    double wanted = ASKED_IN_EXCESS * step.tasks.size() / approvals.share(queue);
    List<Worker> asked = new ArrayList<>();
    double found = 0;
    for (Offer offer : offers) {
      if (found < wanted || asked.size() < ASKED_AT_LEAST) {
        asked.add(offer.worker);
        found += offer.value;
      }
    }
    approvals.ask(step, queue, asked);
  }

  private record Offer(Worker worker, double value) {}

  private void launch(Step step, GangPlan plan) {
    long number = step.nextRun(cell.runBase());
    List<Run> runs = new ArrayList<>();
    for (int i = 0; i < plan.places().size(); i++) {
      Worker worker = (Worker) plan.places().get(i).room();
      Run run = launcher.book(step.tasks.get(i), worker, number);
      run.expectedMillis = plan.endMillis() - plan.startMillis();
      plan.places().get(i).start(step.spec.booked(), plan.endMillis());
      runs.add(run);
    }
    step.planned = List.of();
    step.claimed = List.of();
    step.plannedSinceMillis = -1;
    step.roomSinceMillis = -1;
    for (Run run : runs) {
      launcher.start(run, approvals.ticket(step, run.worker));
    }
  }

  /**
   * A gang of which only some members run, as after a change of the leader, never begins: it is
   * stopped, to start anew.
   */
  void watchPartial(Step step) {
    boolean partial = step.anyRun() && step.anyWaiting();
    if (!partial) {
      step.partialSinceMillis = -1;
      return;
    }
    if (step.partialSinceMillis < 0) {
      step.partialSinceMillis = now();
    }
    if (now() - step.partialSinceMillis >= PARTIAL.toMillis()) {
      for (Task member : step.tasks) {
        if (member.run() != null && !member.run().stopWanted) {
          launcher.stop(member.run(), "the gang is not complete");
        }
      }
    }
  }

  private long now() {
    return ports.clock().millis();
  }
}
