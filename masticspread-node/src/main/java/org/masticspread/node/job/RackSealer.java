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
 * Announces the epochs of the owned work shards to rack owners and reconciles the placements with
 * the tasks that the racks run. Sends one message to each rack that needs one, whatever the number
 * of shards.
 */
final class RackSealer {
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
  private static final int MISSED_SEALS_BEFORE_LOST = 6;

  private final JobContext context;
  private final BiConsumer<JobShard, Map.Entry<TaskKey, Placement>> onLostTask;

  /**
   * Creates the sealer.
   *
   * @param context the shared collaborators
   * @param onLostTask called with each attempt that no longer runs and whose end was not reported
   */
  RackSealer(JobContext context, BiConsumer<JobShard, Map.Entry<TaskKey, Placement>> onLostTask) {
    this.context = context;
    this.onLostTask = onLostTask;
  }

  /**
   * Seals each rack whose owner changed, that is not sealed yet, or that has starts of unknown
   * outcome.
   */
  void runRound(Collection<JobShard> shards) {
    if (!context.authority().mayAct()) {
      return;
    }
    for (RackDigest rack : context.members().racks()) {
      List<JobShard> shardsToSeal =
          shards.stream().filter(s -> needsSeal(s, rack.rack(), rack.epoch())).toList();
      if (!shardsToSeal.isEmpty()) {
        seal(rack.rack(), rack.epoch(), shardsToSeal);
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
        .anyMatch(p -> p.missedSeals() > 0 || (!p.confirmed() && now.isAfter(p.mayStartUntil())));
  }

  private void seal(RackId rack, long rackEpoch, List<JobShard> shards) {
    Instant askedAt = context.clock().instant();
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
                apply(rack, rackEpoch, shards, answer, askedAt);
              }
            });
  }

  private void apply(
      RackId rack, long rackEpoch, List<JobShard> shards, ShardsSealed answer, Instant askedAt) {
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
      findLost(shard, rack, listed.getOrDefault(shard.id(), Set.of()), askedAt);
      shard.markSealed(rack, rackEpoch);
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

  private void findLost(JobShard shard, RackId rack, Set<TaskKey> listed, Instant askedAt) {
    for (Map.Entry<TaskKey, Placement> entry : shard.placements().entrySet()) {
      Placement placement = entry.getValue();
      boolean missingOnRack = placement.rack().equals(rack) && !listed.contains(entry.getKey());
      boolean couldStart = !placement.confirmed() && !askedAt.isAfter(placement.mayStartUntil());
      if (!missingOnRack || couldStart) {
        continue;
      }
      if (placement.missedSeals() + 1 >= MISSED_SEALS_BEFORE_LOST) {
        onLostTask.accept(shard, entry);
      } else {
        shard.put(entry.getKey(), placement.withMissedSeal());
      }
    }
  }
}
