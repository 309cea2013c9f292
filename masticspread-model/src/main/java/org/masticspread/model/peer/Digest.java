package org.masticspread.model.peer;

import java.util.List;
import org.masticspread.model.id.EndpointId;
import org.masticspread.model.id.VmIncarnation;

/**
 * What a VM tells its peers about itself, sent at intervals. Answered by {@link Acknowledged}.
 *
 * @param from the sender
 * @param configRevision the revision in force at the sender
 * @param stopping whether the sender is about to stop
 * @param storeReached whether the latest heartbeat of the sender's session reached the store
 * @param home the load of its endpoints
 * @param racks the racks that it owns
 * @param shards the work shards that it owns
 * @param rackEpochs the highest epoch it knows of each rack shard
 * @param leavingEndpoints endpoints it knows to be leaving
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
