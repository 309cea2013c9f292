package org.masticspread.node.job;

import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.masticspread.model.id.JobKey;
import org.masticspread.model.id.RackId;
import org.masticspread.model.id.ShardId;
import org.masticspread.model.id.TaskKey;
import org.masticspread.state.shard.WorkShardState;

/**
 * A work shard that this VM owns: its durable state, the placements of its tasks and the state of
 * its recovery. Thread-safe.
 */
final class JobShard {
  /** State of the recovery of a shard. */
  enum Recovery {
    /** At least one rack has not reported yet what it runs for this shard. */
    SEALING,
    /** All racks have reported; ended tasks may still be reported. */
    SETTLING,
    /** Tasks of former owners may start. */
    READY
  }

  private final ShardId id;
  private final long epoch;
  private final WorkShardState state;
  private final Map<TaskKey, Placement> placements = new HashMap<>();
  private final Map<RackId, Long> sealedRacks = new HashMap<>();
  private final Set<JobKey> restartingGangs = new HashSet<>();
  private final Set<JobKey> inherited;
  private Recovery recovery = Recovery.SEALING;
  private Instant settlingEndsAt;
  private boolean releasing;

  JobShard(ShardId id, long epoch, WorkShardState state) {
    this.id = id;
    this.epoch = epoch;
    this.state = state;
    this.inherited =
        state.activeJobs().stream().map(j -> j.spec().key()).collect(Collectors.toSet());
  }

  ShardId id() {
    return id;
  }

  long epoch() {
    return epoch;
  }

  WorkShardState state() {
    return state;
  }

  /** Returns whether a job was accepted by a former owner. */
  boolean isInherited(JobKey job) {
    return inherited.contains(job);
  }

  /** Marks the shard for handover; returns false if it is marked already. */
  synchronized boolean release() {
    boolean first = !releasing;
    releasing = true;
    return first;
  }

  synchronized boolean isReleasing() {
    return releasing;
  }

  synchronized void put(TaskKey task, Placement placement) {
    placements.put(task, placement);
  }

  synchronized Optional<Placement> placement(TaskKey task) {
    return Optional.ofNullable(placements.get(task));
  }

  /** Removes the placement of an attempt; keeps that of a later attempt of the same task. */
  synchronized boolean forget(TaskKey task, int attempt) {
    Placement known = placements.get(task);
    if (known == null || known.attempt() > attempt) {
      return false;
    }
    placements.remove(task);
    return true;
  }

  synchronized Map<TaskKey, Placement> placements() {
    return Map.copyOf(placements);
  }

  synchronized Map<TaskKey, Placement> placementsOf(JobKey job) {
    Map<TaskKey, Placement> found = new HashMap<>();
    placements.forEach(
        (task, placement) -> {
          if (task.job().equals(job)) {
            found.put(task, placement);
          }
        });
    return found;
  }

  synchronized boolean isSealed(RackId rack, long rackEpoch) {
    return sealedRacks.getOrDefault(rack, 0L) >= rackEpoch;
  }

  synchronized void markSealed(RackId rack, long rackEpoch) {
    sealedRacks.merge(rack, rackEpoch, Math::max);
  }

  /**
   * Advances to settling once every rack has reported what it runs, and to ready when the settling
   * period is over.
   */
  synchronized Recovery advance(Set<RackId> racks, Instant now, Instant settlingEnd) {
    if (recovery == Recovery.SEALING && sealedRacks.keySet().containsAll(racks)) {
      recovery = Recovery.SETTLING;
      settlingEndsAt = settlingEnd;
    }
    if (recovery == Recovery.SETTLING && !now.isBefore(settlingEndsAt)) {
      recovery = Recovery.READY;
    }
    return recovery;
  }

  synchronized Recovery recovery() {
    return recovery;
  }

  synchronized boolean startGangRestart(JobKey job) {
    return restartingGangs.add(job);
  }

  synchronized boolean isGangRestarting(JobKey job) {
    return restartingGangs.contains(job);
  }

  synchronized void endGangRestart(JobKey job) {
    restartingGangs.remove(job);
  }
}
