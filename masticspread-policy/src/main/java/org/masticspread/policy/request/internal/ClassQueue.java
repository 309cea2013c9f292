package org.masticspread.policy.request.internal;

import org.masticspread.model.config.WorkClassConfig;
import org.masticspread.model.work.Urgency;

/** The queue and the accounts of one work class. */
final class ClassQueue {
  final TeamAccount team;
  final EntryList entries = new EntryList();
  final ServiceTime serviceTime = new ServiceTime();
  final DrainRate drain = new DrainRate();
  final String name;
  WorkClassConfig config;

  /** Slots that the class always gets while it has work. */
  double floorSlots;

  /** The instant up to which the floor is used; at or before now means within the floor. */
  long floorTag;

  /** As the floor tag, with a smaller burst; at or before now means kept slots may be taken. */
  long keptTag;

  /** Spare service so far, in slot nanoseconds. */
  double spareUsed;

  /** When the first entry must start to be answered in time. */
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

  /** Tells whether the waiting work is more than the floor serves within a burst. */
  boolean isOverFloor(long now, long burstNanos) {
    if (floorSlots <= 0) {
      return isBacklogged();
    }
    double backlogNanos = entries.size() * serviceTime.meanNanos() / floorSlots;
    return Math.max(0, floorTag - now) + backlogNanos > burstNanos;
  }

  /** Returns when the queue must be served for its first entry, and those behind, to be in time. */
  long latestStart() {
    double backlogNanos = entries.size() * serviceTime.meanNanos() / Math.max(1, team.shareSlots);
    return entries.first().answerBy - (long) (serviceTime.upperNanos() + backlogNanos);
  }

  /** Returns how long a new entry would wait at the measured drain rate, in nanoseconds. */
  double expectedWaitNanos(int poolSlots) {
    double slots = Math.max(floorSlots, drain.slots());
    if (slots <= 0) {
      slots = Math.max(1, poolSlots);
    }
    return (entries.size() + 1) * serviceTime.meanNanos() / slots;
  }
}
