package org.masticspread.model.peer;

import java.util.List;
import org.masticspread.model.id.RackId;
import org.masticspread.model.id.ShardId;
import org.masticspread.model.platform.TaskAttempt;

/**
 * Asks a rack owner to stop tasks. Answered by {@link Acknowledged}.
 *
 * @param rack the rack
 * @param shardEpoch the epoch of the work shard
 * @param workShard the work shard
 * @param tasks the attempts
 */
public record StopTasks(RackId rack, long shardEpoch, ShardId workShard, List<TaskAttempt> tasks)
    implements PeerMessage {

  /** Copies the list. */
  public StopTasks {
    tasks = List.copyOf(tasks);
  }
}
