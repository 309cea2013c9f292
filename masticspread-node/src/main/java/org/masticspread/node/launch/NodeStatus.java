package org.masticspread.node.launch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.masticspread.model.id.VmId;
import org.masticspread.model.peer.Decision;
import org.masticspread.model.peer.Digest;
import org.masticspread.model.peer.Explain;
import org.masticspread.model.peer.Explained;
import org.masticspread.node.api.StatusService;
import org.masticspread.node.config.NodeConfig;
import org.masticspread.node.member.Members;
import org.masticspread.node.member.PeerCalls;

/** Reports the status of this VM and its peers to operators. */
final class NodeStatus implements StatusService {
  private static final Duration EXPLAIN_TIMEOUT = Duration.ofSeconds(2);

  private final VmId self;
  private final Members members;
  private final PeerCalls calls;
  private final NodeConfig config;
  private final BooleanSupplier ready;
  private final int workShards;

  NodeStatus(
      VmId self,
      Members members,
      PeerCalls calls,
      NodeConfig config,
      BooleanSupplier ready,
      int workShards) {
    this.self = self;
    this.members = members;
    this.calls = calls;
    this.config = config;
    this.ready = ready;
    this.workShards = workShards;
  }

  @Override
  public Status status() {
    List<VmStatus> vms = new ArrayList<>();
    members.ages().forEach((digest, age) -> vms.add(statusOf(digest, age)));
    vms.sort(Comparator.comparing(VmStatus::vm));
    long owned =
        members.fresh().stream()
            .flatMap(d -> d.shards().stream())
            .map(e -> e.shard())
            .distinct()
            .count();
    return new Status(self, isReady(), config.inForce().revision(), (int) owned, workShards, vms);
  }

  private static VmStatus statusOf(Digest digest, Duration age) {
    return new VmStatus(
        digest.from().vm(),
        digest.from().number(),
        digest.configRevision(),
        digest.storeReached(),
        digest.stopping(),
        age.toMillis(),
        digest.home(),
        digest.shards(),
        digest.racks());
  }

  @Override
  public boolean isReady() {
    return ready.getAsBoolean();
  }

  @Override
  public CompletionStage<List<Decision>> explain(String subject) {
    List<VmId> vms = new ArrayList<>(members.others());
    vms.add(self);
    List<CompletableFuture<List<Decision>>> parts = new ArrayList<>();
    for (VmId vm : vms) {
      parts.add(
          calls
              .call(vm, new Explain(subject), Explained.class, EXPLAIN_TIMEOUT)
              .thenApply(Explained::decisions)
              .exceptionally(thrown -> List.of())
              .toCompletableFuture());
    }
    return CompletableFuture.allOf(parts.toArray(CompletableFuture[]::new))
        .thenApply(all -> merge(parts.stream().flatMap(p -> p.join().stream())));
  }

  private static List<Decision> merge(Stream<Decision> decisions) {
    return decisions.sorted(Comparator.comparing(Decision::at)).toList();
  }
}
