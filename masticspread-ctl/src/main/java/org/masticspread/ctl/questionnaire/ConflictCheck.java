package org.masticspread.ctl.questionnaire;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.masticspread.ctl.questionnaire.Answers.Place;
import org.masticspread.ctl.questionnaire.Answers.Work;
import org.masticspread.ctl.units.MemorySize;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.config.PoolConfig;
import org.masticspread.model.config.TeamConfig;
import org.masticspread.model.config.WorkClassConfig;
import org.masticspread.model.resource.ResourceVector;
import org.masticspread.model.work.Urgency;

/** Finds the answers that the cell can't meet. Not thread-safe; used once. */
final class ConflictCheck {
  private static final Duration MAX_ANSWER_TIME = Duration.ofHours(1);
  private static final double TOLERANCE = 1e-9;

  private final Configuration cell;
  private final PoolFacts facts;
  private final Network network;
  private final List<Conflict> conflicts = new ArrayList<>();

  ConflictCheck(Configuration cell, PoolFacts facts, Network network) {
    this.cell = cell;
    this.facts = facts;
    this.network = network;
  }

  /** Lists the conflicts, those of the team first. */
  List<Conflict> conflicts(Answers answers, double need, double floor) {
    checkTeam(answers);
    checkFloor(answers, need, floor);
    for (int i = 0; i < answers.work().size(); i++) {
      checkWork("work[" + i + "].", answers.work().get(i));
    }
    return conflicts;
  }

  private void checkTeam(Answers answers) {
    require(
        facts.pool().isPresent(),
        "pool",
        "there is no pool " + answers.pool() + "; create it first");
    require(
        !facts.pool().map(PoolConfig::retired).orElse(false),
        "pool",
        "pool " + answers.pool() + " is retired");
    require(
        !cell.team(answers.team()).map(TeamConfig::retired).orElse(false),
        "team",
        "team " + answers.team() + " is retired; take another name");
    double kept = keptFloors(answers);
    require(
        kept == 0,
        "work",
        "the team has other work classes with "
            + Plain.percent(kept)
            + " of its floor; answer for them, too, or retire them");
  }

  private double keptFloors(Answers answers) {
    return cell.workClasses().stream()
        .filter(c -> c.team().equals(answers.team()) && !c.retired())
        .filter(c -> answers.work().stream().noneMatch(w -> w.name().equals(c.name())))
        .mapToDouble(WorkClassConfig::floor)
        .sum();
  }

  private void checkFloor(Answers answers, double need, double floor) {
    Double agreed = answers.agreedPart();
    require(
        agreed == null || need <= agreed + TOLERANCE,
        "agreedPart",
        "what must keep running in a flood needs "
            + Plain.percent(need)
            + " of the pool and "
            + Plain.percent(agreed == null ? 0 : agreed)
            + " was agreed; agree on more or keep less");
    double free = Math.max(0, 1 - facts.otherFloors());
    require(
        floor <= free + TOLERANCE,
        "pool",
        "the floors exceed the pool: this team needs "
            + Plain.percent(floor)
            + " and the other teams leave "
            + Plain.percent(free)
            + "; add machines or keep less in a flood");
  }

  private void checkWork(String prefix, Work work) {
    if (work.place() == Place.EXECUTORS) {
      checkAnswerTime(prefix, work);
    } else {
      checkSize(prefix, work);
    }
    checkRate(prefix, work);
    require(
        work.urgency() != Urgency.DEFERRABLE || work.takes().compareTo(work.within()) < 0,
        prefix + "waitUntil",
        "one takes " + Plain.time(work.takes()) + ", which leaves no time to wait");
  }

  private void checkAnswerTime(String prefix, Work work) {
    String field = prefix + (work.urgency() == Urgency.DEFERRABLE ? "waitUntil" : "answerWithin");
    Duration roundTrip = network.roundTrip(facts.dataCentres());
    if (work.within().compareTo(roundTrip) <= 0) {
      conflicts.add(
          new Conflict(
              field,
              Plain.time(work.within())
                  + " is not longer than the network's round trip of "
                  + Plain.time(roundTrip)));
      return;
    }
    Duration least = roundTrip.plus(work.takes());
    require(
        work.urgency() == Urgency.DEFERRABLE || work.within().compareTo(least) > 0,
        field,
        Plain.time(work.within())
            + " is too short: the network takes "
            + Plain.time(roundTrip)
            + " and the run "
            + Plain.time(work.takes()));
    require(
        work.within().compareTo(MAX_ANSWER_TIME) <= 0,
        field,
        "a request waits at most " + Plain.time(MAX_ANSWER_TIME) + "; run it as a job on workers");
  }

  private void checkSize(String prefix, Work work) {
    ResourceVector one = work.size().perTask();
    if (facts.workers().stream().noneMatch(one::fitsIn)) {
      conflicts.add(
          new Conflict(prefix + "cores", "a task of " + sizeText(one) + " fits no active worker"));
      return;
    }
    long held = facts.tasksHeld(one);
    require(
        !work.size().together() || work.size().tasks() <= held,
        prefix + "tasks",
        "the pool holds " + held + " of these tasks at once, so a job can never start together");
  }

  private void checkRate(String prefix, Work work) {
    double part = facts.part(work, work.inProgress());
    String has =
        work.place() == Place.EXECUTORS
            ? facts.slots() + " slots"
            : facts.workers().size() + " workers";
    require(
        part <= 1 + TOLERANCE,
        prefix + "rate",
        Plain.rate(work.ratePerSecond())
            + ", each for "
            + Plain.time(work.takes())
            + ", are "
            + Plain.number(work.inProgress())
            + " at once; the pool has "
            + has
            + (Double.isFinite(part) ? ", and this would take " + Plain.percent(part) : ""));
  }

  private static String sizeText(ResourceVector one) {
    return one.millicores()
        + " millicores, "
        + new MemorySize(one.memoryBytes())
        + " and "
        + one.accelerators()
        + " accelerators";
  }

  private void require(boolean holds, String field, String message) {
    if (!holds) {
      conflicts.add(new Conflict(field, message));
    }
  }
}
