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

/** A check for answers that the cell can't satisfy. Not thread-safe; each instance is used once. */
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

  /** Returns the conflicts, those of the whole team first. */
  List<Conflict> conflicts(Answers answers, double need, double floor) {
    checkTeam(answers);
    checkFloor(answers, need, floor);
    for (int i = 0; i < answers.work().size(); i++) {
      checkWork("work[" + i + "].", answers.work().get(i));
    }
    return conflicts;
  }

  private void checkTeam(Answers answers) {
    conflictUnless(
        facts.pool().isPresent(),
        "pool",
        "there is no pool " + answers.pool() + "; create it first");
    conflictUnless(
        !facts.pool().map(PoolConfig::retired).orElse(false),
        "pool",
        "pool " + answers.pool() + " is retired");
    conflictUnless(
        !cell.team(answers.team()).map(TeamConfig::retired).orElse(false),
        "team",
        "team " + answers.team() + " is retired; take another name");
    double otherFloors = floorsOfOtherClasses(answers);
    conflictUnless(
        otherFloors == 0,
        "work",
        "the team has other work classes with "
            + DisplayFormat.percent(otherFloors)
            + " of its floor; answer for them, too, or retire them");
  }

  private double floorsOfOtherClasses(Answers answers) {
    return cell.workClasses().stream()
        .filter(c -> c.team().equals(answers.team()) && !c.retired())
        .filter(c -> answers.work().stream().noneMatch(w -> w.name().equals(c.name())))
        .mapToDouble(WorkClassConfig::floor)
        .sum();
  }

  private void checkFloor(Answers answers, double need, double floor) {
    Double agreed = answers.agreedPart();
    conflictUnless(
        agreed == null || need <= agreed + TOLERANCE,
        "agreedPart",
        "what must keep running in a flood needs "
            + DisplayFormat.percent(need)
            + " of the pool and "
            + DisplayFormat.percent(agreed == null ? 0 : agreed)
            + " was agreed; agree on more or keep less");
    double free = Math.max(0, 1 - facts.otherFloors());
    conflictUnless(
        floor <= free + TOLERANCE,
        "pool",
        "the floors exceed the pool: this team needs "
            + DisplayFormat.percent(floor)
            + " and the other teams leave "
            + DisplayFormat.percent(free)
            + "; add machines or keep less in a flood");
  }

  private void checkWork(String prefix, Work work) {
    if (work.place() == Place.EXECUTORS) {
      checkAnswerTime(prefix, work);
    } else {
      checkSize(prefix, work);
    }
    checkRate(prefix, work);
    conflictUnless(
        work.urgency() != Urgency.DEFERRABLE || work.takes().compareTo(work.within()) < 0,
        prefix + "waitUntil",
        "one takes " + DisplayFormat.time(work.takes()) + ", which leaves no time to wait");
  }

  private void checkAnswerTime(String prefix, Work work) {
    String field = prefix + (work.urgency() == Urgency.DEFERRABLE ? "waitUntil" : "answerWithin");
    Duration roundTrip = network.roundTrip(facts.dataCentres());
    if (work.within().compareTo(roundTrip) <= 0) {
      conflicts.add(
          new Conflict(
              field,
              DisplayFormat.time(work.within())
                  + " is not longer than the network's round trip of "
                  + DisplayFormat.time(roundTrip)));
      return;
    }
    Duration minimum = roundTrip.plus(work.takes());
    conflictUnless(
        work.urgency() == Urgency.DEFERRABLE || work.within().compareTo(minimum) > 0,
        field,
        DisplayFormat.time(work.within())
            + " is too short: the network takes "
            + DisplayFormat.time(roundTrip)
            + " and the run "
            + DisplayFormat.time(work.takes()));
    conflictUnless(
        work.within().compareTo(MAX_ANSWER_TIME) <= 0,
        field,
        "a request waits at most "
            + DisplayFormat.time(MAX_ANSWER_TIME)
            + "; run it as a job on workers");
  }

  private void checkSize(String prefix, Work work) {
    ResourceVector taskSize = work.size().perTask();
    if (facts.workers().stream().noneMatch(taskSize::fitsIn)) {
      conflicts.add(
          new Conflict(
              prefix + "cores", "a task of " + sizeText(taskSize) + " fits no active worker"));
      return;
    }
    long taskCapacity = facts.taskCapacity(taskSize);
    conflictUnless(
        !work.size().together() || work.size().tasks() <= taskCapacity,
        prefix + "tasks",
        "the pool holds "
            + taskCapacity
            + " of these tasks at once, so a job can never start together");
  }

  private void checkRate(String prefix, Work work) {
    double poolFraction = facts.poolFraction(work, work.inProgress());
    String capacityText =
        work.place() == Place.EXECUTORS
            ? facts.slots() + " slots"
            : facts.workers().size() + " workers";
    conflictUnless(
        poolFraction <= 1 + TOLERANCE,
        prefix + "rate",
        DisplayFormat.rate(work.ratePerSecond())
            + ", each for "
            + DisplayFormat.time(work.takes())
            + ", are "
            + DisplayFormat.number(work.inProgress())
            + " at once; the pool has "
            + capacityText
            + (Double.isFinite(poolFraction)
                ? ", and this would take " + DisplayFormat.percent(poolFraction)
                : ""));
  }

  private static String sizeText(ResourceVector taskSize) {
    return taskSize.millicores()
        + " millicores, "
        + new MemorySize(taskSize.memoryBytes())
        + " and "
        + taskSize.accelerators()
        + " accelerators";
  }

  private void conflictUnless(boolean holds, String field, String message) {
    if (!holds) {
      conflicts.add(new Conflict(field, message));
    }
  }
}
