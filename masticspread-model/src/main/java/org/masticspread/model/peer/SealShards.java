package org.masticspread.model.peer;

import java.util.List;
import org.masticspread.model.id.RackId;

/**
 * Shows the epochs of work shards to a rack owner, which refuses lower ones from then on. Answered
 * by {@link ShardsSealed}.
 *
 * @param rack the rack
 * @param shards the shards
 */
public record SealShards(RackId rack, List<ShardEpoch> shards) implements PeerMessage {

  /** Copies the lists. */
  public SealShards {
    shards = List.copyOf(shards);
  }
}
