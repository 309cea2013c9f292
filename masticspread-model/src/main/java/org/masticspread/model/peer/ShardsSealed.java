package org.masticspread.model.peer;

import java.util.List;
import org.masticspread.model.result.ResultCode;

/**
 * Answers {@link SealShards} with the running tasks of these shards.
 *
 * @param code OK, or NOT_OWNER if this VM does not own the rack or has not recovered it yet
 * @param tasks the tasks
 */
public record ShardsSealed(ResultCode code, List<RunningTask> tasks) implements PeerMessage {

  /** Copies the list. */
  public ShardsSealed {
    tasks = List.copyOf(tasks);
  }
}
