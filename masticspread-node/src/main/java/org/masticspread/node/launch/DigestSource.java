package org.masticspread.node.launch;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.masticspread.model.id.ShardKind;
import org.masticspread.model.id.VmId;
import org.masticspread.model.id.VmIncarnation;
import org.masticspread.model.peer.Digest;
import org.masticspread.model.peer.ShardEpoch;
import org.masticspread.node.config.NodeConfig;
import org.masticspread.node.member.Members;
import org.masticspread.node.rack.RackOwner;
import org.masticspread.node.request.EndpointHome;

/**
 * Supplier of the digest of this VM. Until its session is open, the digest has the incarnation
 * number 0.
 */
final class DigestSource implements Supplier<Digest> {
  private final VmId self;
  private final NodeState state;
  private final NodeConfig config;
  private final EndpointHome home;
  private final RackOwner racks;
  private final Members members;
  private final BooleanSupplier stopping;

  DigestSource(
      VmId self,
      NodeState state,
      NodeConfig config,
      EndpointHome home,
      RackOwner racks,
      Members members,
      BooleanSupplier stopping) {
    this.self = self;
    this.state = state;
    this.config = config;
    this.home = home;
    this.racks = racks;
    this.members = members;
    this.stopping = stopping;
  }

  @Override
  public Digest get() {
    return new Digest(
        state.incarnation().orElseGet(() -> new VmIncarnation(self, 0)),
        config.inForce().revision(),
        stopping.getAsBoolean(),
        state.storeReached(),
        home.digest(),
        racks.digests(),
        workShards(),
        members.rackEpochs(),
        new ArrayList<>(members.leavingListed()));
  }

  private List<ShardEpoch> workShards() {
    return state.held().entrySet().stream()
        .filter(e -> e.getKey().kind() == ShardKind.WORK)
        .map(e -> new ShardEpoch(e.getKey(), e.getValue()))
        .toList();
  }
}
