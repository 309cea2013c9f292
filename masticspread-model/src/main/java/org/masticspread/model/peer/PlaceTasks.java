package org.masticspread.model.peer;

import java.util.List;
import org.masticspread.model.id.RackId;

/**
 * Asks the owner of a rack to start tasks. Answered by {@link TasksPlaced}.
 *
 * @param rack the rack
 * @param shardEpoch the epoch of the work shard of the tasks
 * @param tasks the tasks
 */
public record PlaceTasks(RackId rack, long shardEpoch, List<PlaceTask> tasks)
    implements PeerMessage {

  /** Copies the list. */
  public PlaceTasks {
    tasks = List.copyOf(tasks);
  }
}
