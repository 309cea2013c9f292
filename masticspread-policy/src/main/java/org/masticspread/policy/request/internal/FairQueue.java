package org.masticspread.policy.request.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.masticspread.model.work.Urgency;

/**
 * Orders the backlogged work classes of a pool. Class floors come first, then lifted work (normal
 * or deferrable work that must start now to be in time) within the share of its team, then team
 * floors, and last spare capacity, by urgency and then by team weight.
 *
 * <p>Each floor and share has a tag, the instant up to which it is used up: one nanosecond of slot
 * time advances the tag by one nanosecond divided by the number of slots of the floor. A class
 * whose tag is not after now is within its floor.
 */
final class FairQueue {
  private static final int MIN_BURST_REQUESTS = 4;
  private static final int MIN_RESERVED_BURST_REQUESTS = 16;
  private static final int RESERVED_BURST_DIVISOR = 4;
  private static final long OVERDUE_NANOS = 250_000_000L;
  private static final int MAX_CANDIDATES = 8;
  private static final Comparator<ClassQueue> BY_FLOOR =
      Comparator.<ClassQueue>comparingLong(q -> q.floorTag).thenComparing(q -> q.name);
  private static final Comparator<ClassQueue> BY_LIFT =
      Comparator.<ClassQueue>comparingLong(q -> q.liftAt).thenComparing(q -> q.name);
  private static final Comparator<TeamAccount> BY_TEAM_FLOOR =
      Comparator.<TeamAccount>comparingLong(t -> t.floorTag).thenComparing(t -> t.name);
  private static final Comparator<TeamAccount> BY_SPARE =
      Comparator.<TeamAccount>comparingDouble(t -> t.spareUsed).thenComparing(t -> t.name);

  private final long burstNanos;
  private final List<TreeSet<ClassQueue>> floorQueues = new ArrayList<>();
  private final List<TreeSet<TeamAccount>> spareTeams = new ArrayList<>();
  private final TreeSet<TeamAccount> floorTeams = new TreeSet<>(BY_TEAM_FLOOR);
  private final TreeSet<ClassQueue> liftQueues = new TreeSet<>(BY_LIFT);
  private double spareVirtualTime;

  FairQueue(long burstNanos) {
    this.burstNanos = burstNanos;
    for (int i = 0; i < Urgency.values().length; i++) {
      floorQueues.add(new TreeSet<>(BY_FLOOR));
      spareTeams.add(new TreeSet<>(BY_SPARE));
    }
  }

  /** Changes the queues or the accounting of a team and restores the order. */
  void update(TeamAccount team, Runnable change) {
    remove(team);
    change.run();
    add(team);
  }

  void add(TeamAccount team) {
    for (ClassQueue queue : team.classes) {
      if (!queue.isBacklogged()) {
        continue;
      }
      floorQueues.get(queue.urgency().ordinal()).add(queue);
      spareTeams.get(queue.urgency().ordinal()).add(team);
      floorTeams.add(team);
      if (queue.urgency() != Urgency.URGENT) {
        queue.liftAt = queue.latestStart();
        liftQueues.add(queue);
      }
    }
  }

  void remove(TeamAccount team) {
    if (!floorTeams.remove(team)) {
      return;
    }
    for (ClassQueue queue : team.classes) {
      floorQueues.get(queue.urgency().ordinal()).remove(queue);
      spareTeams.get(queue.urgency().ordinal()).remove(team);
      liftQueues.remove(queue);
    }
  }

  /**
   * Returns the class to serve next, or null if the free slots are reserved for urgent work.
   *
   * <p>Urgent work within its floor takes any free slot, or after a burst any but half of the
   * reserved ones. Normal work within its floor leaves half of the reserved slots free and
   * deferrable work leaves all of them free, unless the class has unused floor and has been waiting
   * for {@link #OVERDUE_NANOS}. All other work leaves all reserved slots free.
   */
  Choice choose(long now, int freeSlots, int reservedSlots) {
    long creditNanos = burstNanos / RESERVED_BURST_DIVISOR;
    boolean halfReserveFree = freeSlots > reservedSlots / 2;
    boolean beyondReserve = freeSlots > reservedSlots;
    Predicate<ClassQueue> mayTakeReserved = queue -> halfReserveFree || queue.reservedTag <= now;
    Predicate<ClassQueue> isOverdue =
        queue -> queue.entries.first().queuedAt <= now - OVERDUE_NANOS;
    Choice choice =
        beyondReserve
            ? withinFloor(now, Urgency.URGENT)
            : firstWithinFloor(now, Urgency.URGENT, mayTakeReserved);
    if (choice == null) {
      choice =
          halfReserveFree
              ? withinFloor(now, Urgency.NORMAL)
              : firstWithinFloor(now - creditNanos, Urgency.NORMAL, isOverdue);
    }
    if (choice == null) {
      choice =
          beyondReserve
              ? withinFloor(now, Urgency.DEFERRABLE)
              : firstWithinFloor(now - creditNanos, Urgency.DEFERRABLE, isOverdue);
    }
    if (choice != null || !beyondReserve) {
      return choice;
    }
    choice = lifted(now);
    if (choice == null) {
      choice = withinTeamFloor(now);
    }
    return choice == null ? fromSpare() : choice;
  }

  private Choice withinFloor(long now, Urgency urgency) {
    TreeSet<ClassQueue> queues = floorQueues.get(urgency.ordinal());
    if (queues.isEmpty() || queues.first().floorTag > now) {
      return null;
    }
    return new Choice(queues.first(), Stage.CLASS_FLOOR);
  }

  private Choice firstWithinFloor(
      long latestTag, Urgency urgency, Predicate<ClassQueue> condition) {
    int seen = 0;
    for (ClassQueue queue : floorQueues.get(urgency.ordinal())) {
      if (queue.floorTag > latestTag || seen++ == MAX_CANDIDATES) {
        return null;
      }
      if (condition.test(queue)) {
        return new Choice(queue, Stage.CLASS_FLOOR);
      }
    }
    return null;
  }

  private Choice lifted(long now) {
    for (ClassQueue queue : liftQueues) {
      if (queue.liftAt > now) {
        return null;
      }
      if (queue.team.shareTag <= now) {
        return new Choice(queue, Stage.LIFTED);
      }
    }
    return null;
  }

  private Choice withinTeamFloor(long now) {
    for (TeamAccount team : floorTeams) {
      if (team.floorTag > now) {
        return null;
      }
      for (Urgency urgency : Urgency.values()) {
        ClassQueue queue = team.leastServed(urgency);
        if (queue != null) {
          return new Choice(queue, Stage.TEAM_FLOOR);
        }
      }
    }
    return null;
  }

  private Choice fromSpare() {
    for (Urgency urgency : Urgency.values()) {
      TreeSet<TeamAccount> teams = spareTeams.get(urgency.ordinal());
      if (!teams.isEmpty()) {
        return new Choice(teams.first().leastServed(urgency), Stage.SPARE);
      }
    }
    return null;
  }

  /** Charges the estimated slot time of a dispatch. Must be called within {@link #update}. */
  void charge(Choice choice, long now, double costNanos) {
    ClassQueue queue = choice.queue();
    TeamAccount team = queue.team;
    double meanNanos = queue.serviceTime.meanNanos();
    long burst = burst(burstNanos, MIN_BURST_REQUESTS * meanNanos, queue.floorSlots);
    long reservedBurst =
        burst(
            burstNanos / RESERVED_BURST_DIVISOR,
            MIN_RESERVED_BURST_REQUESTS * meanNanos,
            queue.floorSlots);
    queue.floorTag = advancedTag(queue.floorTag, now - burst, costNanos, queue.floorSlots);
    queue.reservedTag =
        advancedTag(queue.reservedTag, now - reservedBurst, costNanos, queue.floorSlots);
    team.floorTag = advancedTag(team.floorTag, now - burstNanos, costNanos, team.floorSlots);
    team.shareTag = advancedTag(team.shareTag, now - burstNanos, costNanos, team.shareSlots);
    if (choice.stage() != Stage.SPARE) {
      return;
    }
    spareVirtualTime = Math.max(spareVirtualTime, team.spareUsed);
    team.spareUsed = Math.max(team.spareUsed, spareVirtualTime) + costNanos / weight(team);
    queue.spareUsed += costNanos;
  }

  /**
   * Corrects an earlier charge once the slot time is measured. Must be called within {@link
   * #update}.
   */
  void correct(Choice choice, double deltaNanos) {
    ClassQueue queue = choice.queue();
    TeamAccount team = queue.team;
    queue.floorTag += tagDelta(deltaNanos, queue.floorSlots);
    queue.reservedTag += tagDelta(deltaNanos, queue.floorSlots);
    team.floorTag += tagDelta(deltaNanos, team.floorSlots);
    team.shareTag += tagDelta(deltaNanos, team.shareSlots);
    if (choice.stage() == Stage.SPARE) {
      team.spareUsed += deltaNanos / weight(team);
      queue.spareUsed += deltaNanos;
    }
  }

  /** Lets a team with new work compete from now on, without credit for its idle time. */
  void resume(TeamAccount team) {
    team.spareUsed = Math.max(team.spareUsed, spareVirtualTime);
  }

  private static int weight(TeamAccount team) {
    return Math.max(1, team.config.weight());
  }

  private static long burst(long minNanos, double minSlotNanos, double slots) {
    return Math.max(minNanos, tagDelta(minSlotNanos, slots));
  }

  private static long advancedTag(long tag, long earliest, double costNanos, double slots) {
    return slots <= 0 ? Times.NEVER : Math.max(tag, earliest) + tagDelta(costNanos, slots);
  }

  private static long tagDelta(double costNanos, double slots) {
    return slots <= 0 ? 0 : (long) (costNanos / slots);
  }

  /** The rule that entitles a class to a slot. */
  enum Stage {
    CLASS_FLOOR,
    LIFTED,
    TEAM_FLOOR,
    SPARE
  }

  /** A work class and the rule that entitles it to a slot. */
  record Choice(ClassQueue queue, Stage stage) {}
}
