package org.masticspread.model.peer;

import java.util.List;
import org.masticspread.model.id.EndpointId;
import org.masticspread.model.id.VmIncarnation;

/**
 * The state of a VM, which it sends to its peers periodically. Answered by {@link Acknowledged}.
 *
 * @param from the sender
 * @param configRevision the configuration revision in effect at the sender
 * @param stopping whether the sender is stopping
 * @param storeReached whether the latest session heartbeat of the sender reached the store
 * @param home the load of the endpoints whose home is the sender
 * @param racks the racks owned by the sender
 * @param shards the work shards owned by the sender
 * @param rackEpochs the highest known epoch of each rack shard
 * @param leavingEndpoints the endpoints known to be leaving
 */
public record Digest(
    VmIncarnation from,
    long configRevision,
    boolean stopping,
    boolean storeReached,
    HomeDigest home,
    List<RackDigest> racks,
    List<ShardEpoch> shards,
    List<ShardEpoch> rackEpochs,
    List<EndpointId> leavingEndpoints)
    implements PeerMessage {

  /** Copies the lists. */
  public Digest {
    racks = List.copyOf(racks);
    shards = List.copyOf(shards);
    rackEpochs = List.copyOf(rackEpochs);
    leavingEndpoints = List.copyOf(leavingEndpoints);
  }
}
