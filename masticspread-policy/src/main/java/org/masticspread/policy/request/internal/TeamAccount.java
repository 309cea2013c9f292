package org.masticspread.policy.request.internal;

import java.util.ArrayList;
import java.util.List;
import org.masticspread.model.config.TeamConfig;
import org.masticspread.model.work.Urgency;

/** The accounts of one team and its class queues. */
final class TeamAccount {
  final List<ClassQueue> classes = new ArrayList<>();
  final String name;
  TeamConfig config;

  /** Slots that the team always gets while it has work. */
  double floorSlots;

  /** Slots of the team when every team has work: its floor and its part of the rest. */
  double shareSlots;

  long floorTag;
  long shareTag;

  /** Spare service so far over the weight, in slot nanoseconds. */
  double spareUsed;

  TeamAccount(TeamConfig config) {
    this.config = config;
    this.name = config.name().value();
  }

  boolean isBacklogged() {
    return classes.stream().anyMatch(ClassQueue::isBacklogged);
  }

  /** Returns the backlogged class of an urgency that had the least spare service, or null. */
  ClassQueue leastServed(Urgency urgency) {
    ClassQueue best = null;
    for (ClassQueue queue : classes) {
      if (queue.urgency() != urgency || !queue.isBacklogged()) {
        continue;
      }
      if (best == null || queue.spareUsed < best.spareUsed) {
        best = queue;
      }
    }
    return best;
  }
}
