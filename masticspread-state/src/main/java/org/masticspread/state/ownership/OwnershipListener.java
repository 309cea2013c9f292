package org.masticspread.state.ownership;

import org.masticspread.model.id.ShardId;
import org.masticspread.model.result.MasticspreadException;
import org.masticspread.state.shard.WorkShardState;

/**
 * Listener for changes of the shards that this VM holds. Called from {@link ShardOwnership#tick}.
 */
public interface OwnershipListener {
  /**
   * Called when this VM holds a shard and has recovered its state.
   *
   * @param shard the shard
   * @param epoch the epoch, higher than those of all former owners
   * @param state the recovered state; null for a rack shard
   */
  void acquired(ShardId shard, long epoch, WorkShardState state);

  /**
   * Called at each tick while a shard is to be handed over, until it returns true. The listener
   * must accept no new work for the shard, and return true once the work in flight has ended or a
   * time limit set by the listener has passed. Records may be appended until then.
   *
   * @param shard the shard
   * @param epoch the epoch
   * @return whether the shard can be released
   */
  boolean prepareRelease(ShardId shard, long epoch);

  /**
   * Called when this VM no longer holds a shard because it was handed over or the session of this
   * VM has ended.
   *
   * @param shard the shard
   * @param epoch the epoch under which it was held
   */
  void lost(ShardId shard, long epoch);

  /**
   * Called when the recovery of a shard that this VM should hold has failed. The recovery is
   * retried at each tick.
   *
   * @param shard the shard
   * @param error the cause of the failure
   */
  void recoveryFailed(ShardId shard, MasticspreadException error);
}
