package org.masticspread.node.job;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import org.masticspread.model.id.RackId;
import org.masticspread.model.id.ShardId;
import org.masticspread.model.id.TaskKey;
import org.masticspread.model.id.VmId;
import org.masticspread.model.peer.RackDigest;
import org.masticspread.model.peer.RunningTask;
import org.masticspread.model.peer.SealShards;
import org.masticspread.model.peer.ShardEpoch;
import org.masticspread.model.peer.ShardsSealed;
import org.masticspread.model.result.ResultCode;
import org.masticspread.model.work.TaskPhase;

/**
 * Shows the epochs of the owned work shards to rack owners and brings the placements in line with
 * what they run. One message for each rack that needs it, whatever the number of shards.
 */
final class RackSeals {
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
  private static final int MISSES_BEFORE_LOST = 6;

  private final JobContext context;
  private final BiConsumer<JobShard, Map.Entry<TaskKey, Placement>> lost;

  /**
   * Creates the seals.
   *
   * @param context the shared parts
   * @param lost takes an attempt that certainly runs no more and was not reported
   */
  RackSeals(JobContext context, BiConsumer<JobShard, Map.Entry<TaskKey, Placement>> lost) {
    this.context = context;
    this.lost = lost;
  }

  /** Seals each rack whose owner changed, that was not sealed yet, or whose starts are unknown. */
  void round(Collection<JobShard> shards) {
    if (!context.authority().mayAct()) {
      return;
    }
    for (RackDigest rack : context.members().racks()) {
      List<JobShard> needing =
          shards.stream().filter(s -> needsSeal(s, rack.rack(), rack.epoch())).toList();
      if (!needing.isEmpty()) {
        seal(rack.rack(), rack.epoch(), needing);
      }
    }
  }

  private boolean needsSeal(JobShard shard, RackId rack, long rackEpoch) {
    if (!shard.isSealed(rack, rackEpoch)) {
      return true;
    }
    Instant now = context.clock().instant();
    return shard.placements().values().stream()
        .filter(p -> p.rack().equals(rack))
        .anyMatch(p -> p.missing() > 0 || (!p.settled() && now.isAfter(p.mayStartUntil())));
  }

  private void seal(RackId rack, long rackEpoch, List<JobShard> shards) {
    Instant asked = context.clock().instant();
    List<ShardEpoch> epochs = shards.stream().map(s -> new ShardEpoch(s.id(), s.epoch())).toList();
    VmId owner = context.members().ownerOf(ShardId.rack(rack)).orElse(null);
    if (owner == null) {
      return;
    }
    Duration timeout = context.times().placeTimeout();
    context
        .calls()
        .call(owner, new SealShards(rack, epochs), ShardsSealed.class, timeout)
        .whenComplete(
            (answer, thrown) -> {
              if (thrown == null && answer.code() == ResultCode.OK) {
                take(rack, rackEpoch, shards, answer, asked);
              }
            });
  }

  private void take(
      RackId rack, long rackEpoch, List<JobShard> shards, ShardsSealed answer, Instant asked) {
    Map<ShardId, Set<TaskKey>> listed = new HashMap<>();
    Map<ShardId, JobShard> byId = new HashMap<>();
    shards.forEach(s -> byId.put(s.id(), s));
    for (RunningTask running : answer.tasks()) {
      JobShard shard = byId.get(running.workShard());
      if (shard != null) {
        listed.computeIfAbsent(shard.id(), s -> new HashSet<>()).add(running.task().task());
        adopt(shard, rack, running);
      }
    }
    for (JobShard shard : shards) {
      findLost(shard, rack, listed.getOrDefault(shard.id(), Set.of()), asked);
      shard.sealed(rack, rackEpoch);
    }
  }

  private void adopt(JobShard shard, RackId rack, RunningTask running) {
    TaskKey task = running.task().task();
    int attempt = running.task().attempt();
    Placement known = shard.placement(task).orElse(null);
    if (known != null && known.attempt() > attempt) {
      return;
    }
    shard.put(
        task,
        new Placement(
            attempt,
            rack,
            running.worker(),
            running.certain(),
            context.clock().instant().plus(context.times().placeWindow()),
            0));
    TaskPhase phase = running.certain() ? TaskPhase.RUNNING : TaskPhase.PLACING;
    shard.state().recordActiveAttempt(task, attempt, phase, running.worker());
    context.queue().remove(task);
    LOG.atFine().log("jobs: %s runs on %s", task, running.worker());
  }

  private void findLost(JobShard shard, RackId rack, Set<TaskKey> listed, Instant asked) {
    for (Map.Entry<TaskKey, Placement> entry : shard.placements().entrySet()) {
      Placement placement = entry.getValue();
      boolean here = placement.rack().equals(rack) && !listed.contains(entry.getKey());
      boolean couldStart = !placement.settled() && !asked.isAfter(placement.mayStartUntil());
      if (!here || couldStart) {
        continue;
      }
      if (placement.missing() + 1 >= MISSES_BEFORE_LOST) {
        lost.accept(shard, entry);
      } else {
        shard.put(entry.getKey(), placement.missed());
      }
    }
  }
}
