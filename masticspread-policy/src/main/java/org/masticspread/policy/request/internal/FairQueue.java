package org.masticspread.policy.request.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.masticspread.model.work.Urgency;

/**
 * Orders the backlogged classes of a pool: floors first, then late deferrable work within the share
 * of its team, then spare capacity, urgent first and by weight.
 *
 * <p>A tag tells up to when a floor is used: each nanosecond of slot time moves it by one over the
 * floor in slots. Work at or before now is within its floor.
 */
final class FairQueue {
  private static final int BURST_REQUESTS = 4;
  private static final int KEPT_REQUESTS = 16;
  private static final int KEPT_DIVISOR = 4;
  private static final long OVERDUE_NANOS = 250_000_000L;
  private static final int CANDIDATES = 8;
  private static final Comparator<ClassQueue> BY_FLOOR =
      Comparator.<ClassQueue>comparingLong(q -> q.floorTag).thenComparing(q -> q.name);
  private static final Comparator<ClassQueue> BY_LIFT =
      Comparator.<ClassQueue>comparingLong(q -> q.liftAt).thenComparing(q -> q.name);
  private static final Comparator<TeamAccount> BY_TEAM_FLOOR =
      Comparator.<TeamAccount>comparingLong(t -> t.floorTag).thenComparing(t -> t.name);
  private static final Comparator<TeamAccount> BY_SPARE =
      Comparator.<TeamAccount>comparingDouble(t -> t.spareUsed).thenComparing(t -> t.name);

  private final long burstNanos;
  private final List<TreeSet<ClassQueue>> floors = new ArrayList<>();
  private final List<TreeSet<TeamAccount>> spare = new ArrayList<>();
  private final TreeSet<TeamAccount> teamFloors = new TreeSet<>(BY_TEAM_FLOOR);
  private final TreeSet<ClassQueue> lifts = new TreeSet<>(BY_LIFT);
  private double spareClock;

  FairQueue(long burstNanos) {
    this.burstNanos = burstNanos;
    for (int i = 0; i < Urgency.values().length; i++) {
      floors.add(new TreeSet<>(BY_FLOOR));
      spare.add(new TreeSet<>(BY_SPARE));
    }
  }

  /** Changes the queues or accounts of a team and keeps the order. */
  void change(TeamAccount team, Runnable change) {
    remove(team);
    change.run();
    add(team);
  }

  void add(TeamAccount team) {
    for (ClassQueue queue : team.classes) {
      if (!queue.isBacklogged()) {
        continue;
      }
      floors.get(queue.urgency().ordinal()).add(queue);
      spare.get(queue.urgency().ordinal()).add(team);
      teamFloors.add(team);
      if (queue.urgency() != Urgency.URGENT) {
        queue.liftAt = queue.latestStart();
        lifts.add(queue);
      }
    }
  }

  void remove(TeamAccount team) {
    if (!teamFloors.remove(team)) {
      return;
    }
    for (ClassQueue queue : team.classes) {
      floors.get(queue.urgency().ordinal()).remove(queue);
      spare.get(queue.urgency().ordinal()).remove(team);
      lifts.remove(queue);
    }
  }

  /**
   * Returns the class to serve next, or null when the free slots are kept for urgent work.
   *
   * <p>Urgent work within its floor takes any free slot, after a burst all but half of those kept.
   * Other work within its floor leaves half of the kept slots or all of them, unless it has unused
   * floor and has waited for long. All else leaves them all.
   */
  Choice choose(long now, int freeSlots, int reservedSlots) {
    long creditNanos = burstNanos / KEPT_DIVISOR;
    boolean half = freeSlots > reservedSlots / 2;
    boolean open = freeSlots > reservedSlots;
    Predicate<ClassQueue> mayTakeKept = queue -> half || queue.keptTag <= now;
    Predicate<ClassQueue> isOverdue =
        queue -> queue.entries.first().queuedAt <= now - OVERDUE_NANOS;
    Choice choice =
        open ? withinFloor(now, Urgency.URGENT) : firstWhere(now, Urgency.URGENT, mayTakeKept);
    if (choice == null) {
      choice =
          half
              ? withinFloor(now, Urgency.NORMAL)
              : firstWhere(now - creditNanos, Urgency.NORMAL, isOverdue);
    }
    if (choice == null) {
      choice =
          open
              ? withinFloor(now, Urgency.DEFERRABLE)
              : firstWhere(now - creditNanos, Urgency.DEFERRABLE, isOverdue);
    }
    if (choice != null || !open) {
      return choice;
    }
    choice = lifted(now);
    if (choice == null) {
      choice = withTeamFloor(now);
    }
    return choice == null ? fromSpare() : choice;
  }

  private Choice withinFloor(long now, Urgency urgency) {
    TreeSet<ClassQueue> queues = floors.get(urgency.ordinal());
    if (queues.isEmpty() || queues.first().floorTag > now) {
      return null;
    }
    return new Choice(queues.first(), Stage.CLASS_FLOOR);
  }

  private Choice firstWhere(long latestTag, Urgency urgency, Predicate<ClassQueue> condition) {
    int seen = 0;
    for (ClassQueue queue : floors.get(urgency.ordinal())) {
      if (queue.floorTag > latestTag || seen++ == CANDIDATES) {
        return null;
      }
      if (condition.test(queue)) {
        return new Choice(queue, Stage.CLASS_FLOOR);
      }
    }
    return null;
  }

  private Choice lifted(long now) {
    for (ClassQueue queue : lifts) {
      if (queue.liftAt > now) {
        return null;
      }
      if (queue.team.shareTag <= now) {
        return new Choice(queue, Stage.LIFTED);
      }
    }
    return null;
  }

  private Choice withTeamFloor(long now) {
    for (TeamAccount team : teamFloors) {
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
      TreeSet<TeamAccount> teams = spare.get(urgency.ordinal());
      if (!teams.isEmpty()) {
        return new Choice(teams.first().leastServed(urgency), Stage.SPARE);
      }
    }
    return null;
  }

  /** Charges estimated slot time at a dispatch; call it within {@link #change}. */
  void charge(Choice choice, long now, double costNanos) {
    ClassQueue queue = choice.queue();
    TeamAccount team = queue.team;
    double meanNanos = queue.serviceTime.meanNanos();
    long burst = burst(burstNanos, BURST_REQUESTS * meanNanos, queue.floorSlots);
    long kept = burst(burstNanos / KEPT_DIVISOR, KEPT_REQUESTS * meanNanos, queue.floorSlots);
    queue.floorTag = advanced(queue.floorTag, now - burst, costNanos, queue.floorSlots);
    queue.keptTag = advanced(queue.keptTag, now - kept, costNanos, queue.floorSlots);
    team.floorTag = advanced(team.floorTag, now - burstNanos, costNanos, team.floorSlots);
    team.shareTag = advanced(team.shareTag, now - burstNanos, costNanos, team.shareSlots);
    if (choice.stage() != Stage.SPARE) {
      return;
    }
    spareClock = Math.max(spareClock, team.spareUsed);
    team.spareUsed = Math.max(team.spareUsed, spareClock) + costNanos / weight(team);
    queue.spareUsed += costNanos;
  }

  /** Corrects a charge by the measured slot time; call it within {@link #change}. */
  void correct(Choice choice, double moreNanos) {
    ClassQueue queue = choice.queue();
    TeamAccount team = queue.team;
    queue.floorTag += steps(moreNanos, queue.floorSlots);
    queue.keptTag += steps(moreNanos, queue.floorSlots);
    team.floorTag += steps(moreNanos, team.floorSlots);
    team.shareTag += steps(moreNanos, team.shareSlots);
    if (choice.stage() == Stage.SPARE) {
      team.spareUsed += moreNanos / weight(team);
      queue.spareUsed += moreNanos;
    }
  }

  /** Lets a team that comes back compete from now on, without credit for its idle time. */
  void resume(TeamAccount team) {
    team.spareUsed = Math.max(team.spareUsed, spareClock);
  }

  private static int weight(TeamAccount team) {
    return Math.max(1, team.config.weight());
  }

  private static long burst(long least, double leastNanos, double slots) {
    return Math.max(least, steps(leastNanos, slots));
  }

  private static long advanced(long tag, long earliest, double costNanos, double slots) {
    return slots <= 0 ? Times.NEVER : Math.max(tag, earliest) + steps(costNanos, slots);
  }

  private static long steps(double costNanos, double slots) {
    return slots <= 0 ? 0 : (long) (costNanos / slots);
  }

  /** What entitles a class to a slot. */
  enum Stage {
    CLASS_FLOOR,
    LIFTED,
    TEAM_FLOOR,
    SPARE
  }

  /** A class and what entitles it. */
  record Choice(ClassQueue queue, Stage stage) {}
}
