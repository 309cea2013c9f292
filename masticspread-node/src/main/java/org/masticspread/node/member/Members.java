package org.masticspread.node.member;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.LongSupplier;
import org.masticspread.model.id.EndpointId;
import org.masticspread.model.id.ShardId;
import org.masticspread.model.id.VmId;
import org.masticspread.model.id.WorkerId;
import org.masticspread.model.peer.Digest;
import org.masticspread.model.peer.RackDigest;
import org.masticspread.model.peer.ShardEpoch;
import org.masticspread.model.platform.Member;
import org.masticspread.model.platform.MembershipView;

/**
 * Members of the cell as known to this VM, from the membership list of the platform and the digests
 * that peers send. Thread-safe.
 *
 * <p>Example: {@code members.ownerOf(shard)} finds where to send a job.
 */
public final class Members {
  private final VmId self;
  private final LongSupplier nanos;
  private final Duration freshFor;
  private final Map<VmId, Member> listed = new HashMap<>();
  private final Map<VmId, Peer> peers = new HashMap<>();
  private final Map<ShardId, Long> rackEpochs = new HashMap<>();
  private Set<EndpointId> leavingListed = Set.of();
  private Set<EndpointId> goneListed = Set.of();
  private Set<WorkerId> goneWorkers = Set.of();

  /**
   * Creates an empty set of members.
   *
   * @param self this VM
   * @param nanos a monotonic clock, in nanoseconds
   * @param freshFor how long a digest counts as fresh
   */
  public Members(VmId self, LongSupplier nanos, Duration freshFor) {
    this.self = self;
    this.nanos = nanos;
    this.freshFor = freshFor;
  }

  /**
   * Applies the membership list of the platform.
   *
   * @param view the membership list
   */
  public synchronized void update(MembershipView view) {
    listed.clear();
    view.members().forEach(m -> listed.put(m.vm(), m));
    leavingListed = Set.copyOf(view.leavingEndpoints());
    goneListed = Set.copyOf(view.goneEndpoints());
    goneWorkers = Set.copyOf(view.goneWorkers());
    peers.keySet().removeIf(vm -> !listed.containsKey(vm) && !vm.equals(self));
  }

  /**
   * Records the digest of a VM, which may be this one. A digest of an older incarnation is dropped.
   *
   * @param digest the digest
   */
  public synchronized void update(Digest digest) {
    VmId vm = digest.from().vm();
    Peer previous = peers.get(vm);
    if (previous != null && previous.digest().from().number() > digest.from().number()) {
      return;
    }
    peers.put(vm, new Peer(digest, nanos.getAsLong()));
    digest.rackEpochs().forEach(e -> rackEpochs.merge(e.shard(), e.epoch(), Math::max));
    for (RackDigest rack : digest.racks()) {
      rackEpochs.merge(ShardId.rack(rack.rack()), rack.epoch(), Math::max);
    }
  }

  /**
   * Returns the other VMs on the membership list.
   *
   * @return the VMs, in order
   */
  public synchronized List<VmId> others() {
    return listed.keySet().stream().filter(vm -> !vm.equals(self)).sorted().toList();
  }

  /**
   * Returns the VMs on the membership list that are not leaving or stopping.
   *
   * @return the VMs, this one included if it is listed
   */
  public synchronized Set<VmId> staying() {
    Set<VmId> staying = new TreeSet<>();
    for (VmId vm : listed.keySet()) {
      if (!isLeaving(vm)) {
        staying.add(vm);
      }
    }
    return staying;
  }

  /**
   * Returns whether a VM is leaving, according to the membership list or its own digest.
   *
   * @param vm the VM
   * @return whether it is leaving; false if the VM is unknown
   */
  public synchronized boolean isLeaving(VmId vm) {
    Member member = listed.get(vm);
    Peer peer = peers.get(vm);
    return (member != null && member.leaving()) || (peer != null && peer.digest().stopping());
  }

  /**
   * Returns the address of a VM.
   *
   * @param vm the VM
   * @return host and port for calls of peers, or empty if it is not listed
   */
  public synchronized Optional<String> addressOf(VmId vm) {
    return Optional.ofNullable(listed.get(vm)).map(Member::address);
  }

  /**
   * Returns the owner of a work shard or rack shard: the VM that reports the highest epoch.
   *
   * @param shard the shard
   * @return the owner, or empty if none is known
   */
  public synchronized Optional<VmId> ownerOf(ShardId shard) {
    return peers.values().stream()
        .map(Peer::digest)
        .filter(d -> epochIn(d, shard) > 0)
        .max(Comparator.comparingLong(d -> epochIn(d, shard)))
        .map(d -> d.from().vm());
  }

  private static long epochIn(Digest digest, ShardId shard) {
    return switch (shard.kind()) {
      case WORK ->
          digest.shards().stream()
              .filter(e -> e.shard().equals(shard))
              .mapToLong(ShardEpoch::epoch)
              .findFirst()
              .orElse(0);
      case RACK ->
          digest.racks().stream()
              .filter(r -> ShardId.rack(r.rack()).equals(shard))
              .mapToLong(RackDigest::epoch)
              .findFirst()
              .orElse(0);
    };
  }

  /**
   * Returns the fresh digests, including that of this VM.
   *
   * @return the digests
   */
  public synchronized List<Digest> fresh() {
    return peers.values().stream().filter(this::isFresh).map(Peer::digest).toList();
  }

  /**
   * Returns the latest digest of each VM with its age.
   *
   * @return the ages by digest
   */
  public synchronized Map<Digest, Duration> ages() {
    long now = nanos.getAsLong();
    Map<Digest, Duration> ages = new HashMap<>();
    peers.values().forEach(p -> ages.put(p.digest(), Duration.ofNanos(now - p.receivedNanos())));
    return ages;
  }

  /**
   * Returns the racks in fresh digests. If two VMs claim the same rack, the one with the higher
   * epoch counts.
   *
   * @return the racks
   */
  public synchronized List<RackDigest> racks() {
    Map<ShardId, RackDigest> racks = new HashMap<>();
    for (Digest digest : fresh()) {
      for (RackDigest rack : digest.racks()) {
        racks.merge(ShardId.rack(rack.rack()), rack, (a, b) -> a.epoch() >= b.epoch() ? a : b);
      }
    }
    return new ArrayList<>(racks.values());
  }

  /**
   * Returns the highest epoch known of each rack shard.
   *
   * @return the epochs
   */
  public synchronized List<ShardEpoch> rackEpochs() {
    List<ShardEpoch> epochs = new ArrayList<>();
    rackEpochs.forEach((shard, epoch) -> epochs.add(new ShardEpoch(shard, epoch)));
    return epochs;
  }

  /**
   * Returns the highest epoch known of a rack shard.
   *
   * @param rack the rack shard
   * @return the epoch, 0 if none is known
   */
  public synchronized long rackEpoch(ShardId rack) {
    return rackEpochs.getOrDefault(rack, 0L);
  }

  /**
   * Returns whether this VM has fresh digests of at least half of the listed VMs, itself included.
   *
   * @return whether it is in contact with at least half of its cell
   */
  public synchronized boolean hearsAtLeastHalf() {
    long heard = listed.keySet().stream().filter(this::isHeardFrom).count();
    return 2 * heard >= listed.size();
  }

  private boolean isHeardFrom(VmId vm) {
    return vm.equals(self) || (peers.containsKey(vm) && isFresh(peers.get(vm)));
  }

  private boolean isFresh(Peer peer) {
    return peer.digest().from().vm().equals(self)
        || nanos.getAsLong() - peer.receivedNanos() <= freshFor.toNanos();
  }

  /**
   * Returns the endpoints that are leaving or gone according to this VM or a peer.
   *
   * @return the endpoints
   */
  public synchronized Set<EndpointId> leavingEndpoints() {
    Set<EndpointId> leaving = new HashSet<>(leavingListed);
    leaving.addAll(goneListed);
    fresh().forEach(d -> leaving.addAll(d.leavingEndpoints()));
    return leaving;
  }

  /**
   * Returns the endpoints that are leaving or gone according to the membership list.
   *
   * @return the endpoints, for the digest
   */
  public synchronized Collection<EndpointId> leavingListed() {
    Set<EndpointId> leaving = new TreeSet<>(leavingListed);
    leaving.addAll(goneListed);
    return leaving;
  }

  /**
   * Returns the workers that are gone according to the membership list.
   *
   * @return the workers
   */
  public synchronized Set<WorkerId> goneWorkers() {
    return goneWorkers;
  }
}
