package org.masticspread.model.peer;

import java.util.List;
import org.masticspread.model.result.ResultCode;

/**
 * Answers {@link SealShards}: what runs for these shards.
 *
 * @param code OK, or NOT_OWNER when the rack is not owned or not recovered here
 * @param tasks the tasks
 */
public record ShardsSealed(ResultCode code, List<RunningTask> tasks) implements PeerMessage {

  /** Copies the lists. */
  public ShardsSealed {
    tasks = List.copyOf(tasks);
  }
}
