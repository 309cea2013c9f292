package org.masticspread.policy.request.internal;

import org.masticspread.model.config.WorkClassConfig;
import org.masticspread.model.work.Urgency;

/** The queue and the fair-share accounting of one work class. */
final class ClassQueue {
  final TeamAccount team;
  final EntryList entries = new EntryList();
  final ServiceTime serviceTime = new ServiceTime();
  final DrainRate drainRate = new DrainRate();
  final String name;
  WorkClassConfig config;

  /** The number of slots guaranteed to the class while it is backlogged. */
  double floorSlots;

  /**
   * The instant up to which the floor is used up; the class is within its floor if not after now.
   */
  long floorTag;

  /** The floor tag with a smaller burst; the class may take reserved slots if not after now. */
  long reservedTag;

  /** The spare capacity used so far, in slot nanoseconds. */
  double spareUsed;

  /** When the first entry must start in order to be answered in time. */
  long liftAt;

  ClassQueue(TeamAccount team, WorkClassConfig config) {
    this.team = team;
    this.config = config;
    this.name = config.key().toString();
  }

  Urgency urgency() {
    return config.urgency();
  }

  boolean isBacklogged() {
    return entries.size() > 0;
  }

  /** Returns whether the backlog exceeds what the floor serves within the burst period. */
  boolean isOverFloor(long now, long burstNanos) {
    if (floorSlots <= 0) {
      return isBacklogged();
    }
    double backlogNanos = entries.size() * serviceTime.meanNanos() / floorSlots;
    return Math.max(0, floorTag - now) + backlogNanos > burstNanos;
  }

  /** Returns when the first entry must start for it and the entries behind it to be in time. */
  long latestStart() {
    double backlogNanos = entries.size() * serviceTime.meanNanos() / Math.max(1, team.shareSlots);
    return entries.first().answerBy - (long) (serviceTime.upperBoundNanos() + backlogNanos);
  }

  /** Returns the expected wait of a new entry at the measured drain rate, in nanoseconds. */
  double expectedWaitNanos(int poolSlots) {
    double slots = Math.max(floorSlots, drainRate.slots());
    if (slots <= 0) {
      slots = Math.max(1, poolSlots);
    }
    return (entries.size() + 1) * serviceTime.meanNanos() / slots;
  }
}
