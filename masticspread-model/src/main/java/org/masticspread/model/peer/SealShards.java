package org.masticspread.model.peer;

import java.util.List;
import org.masticspread.model.id.RackId;

/**
 * Announces the epochs of work shards to a rack owner, which refuses lower ones from then on.
 * Answered by {@link ShardsSealed}.
 *
 * @param rack the rack
 * @param shards the work shards and their epochs
 */
public record SealShards(RackId rack, List<ShardEpoch> shards) implements PeerMessage {

  /** Copies the list. */
  public SealShards {
    shards = List.copyOf(shards);
  }
}
