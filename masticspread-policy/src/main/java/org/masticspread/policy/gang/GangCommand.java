package org.masticspread.policy.gang;

import java.time.Duration;
import java.util.Map;
import org.masticspread.model.id.RackId;

/** A command that a {@link GangPlanner} gives to the owner of a gang. */
public sealed interface GangCommand {
  /**
   * Asks a rack owner to reserve room.
   *
   * @param rack the rack
   * @param attempt the attempt to make the reservation for
   * @param wanted the maximum number of tasks to reserve room for
   * @param ttl the time to live of the reservation
   */
  record Reserve(RackId rack, int attempt, int wanted, Duration ttl) implements GangCommand {}

  /**
   * Starts all tasks at once in the reserved room.
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
   * Releases a reservation.
   *
   * @param rack the rack
   * @param attempt the attempt for which it was reserved
   */
  record Release(RackId rack, int attempt) implements GangCommand {}
}
