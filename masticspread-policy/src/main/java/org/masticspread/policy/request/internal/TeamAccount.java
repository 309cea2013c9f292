package org.masticspread.policy.request.internal;

import java.util.ArrayList;
import java.util.List;
import org.masticspread.model.config.TeamConfig;
import org.masticspread.model.work.Urgency;

/** The fair-share accounting of one team, and its class queues. */
final class TeamAccount {
  final List<ClassQueue> classes = new ArrayList<>();
  final String name;
  TeamConfig config;

  /** The number of slots guaranteed to the team while it is backlogged. */
  double floorSlots;

  /** The slots of the team if all teams are backlogged: its floor and its part of the rest. */
  double shareSlots;

  long floorTag;
  long shareTag;

  /** The spare capacity used so far divided by the weight, in slot nanoseconds. */
  double spareUsed;

  TeamAccount(TeamConfig config) {
    this.config = config;
    this.name = config.name().value();
  }

  boolean isBacklogged() {
    return classes.stream().anyMatch(ClassQueue::isBacklogged);
  }

  /** Returns the backlogged class of an urgency that used the least spare capacity, or null. */
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
