package org.masticspread.policy.gang;

import java.time.Duration;
import java.util.Map;
import org.masticspread.model.id.RackId;

/** What the owner of a gang does next. */
public sealed interface GangCommand {
  /**
   * Ask a rack owner to reserve room.
   *
   * @param rack the rack
   * @param attempt the attempt to reserve under
   * @param wanted the most tasks to reserve for
   * @param ttl how long the reservation stands
   */
  record Reserve(RackId rack, int attempt, int wanted, Duration ttl) implements GangCommand {}

  /**
   * Start all tasks at once in the reserved room.
   *
   * @param tasksByRack the number of tasks to start on each rack
   */
  record Start(Map<RackId, Integer> tasksByRack) implements GangCommand {

    /** Copies the map. */
    public Start {
      tasksByRack = Map.copyOf(tasksByRack);
    }
  }

  /**
   * Give a reservation back.
   *
   * @param rack the rack
   * @param attempt the attempt it was reserved under
   */
  record Release(RackId rack, int attempt) implements GangCommand {}
}
