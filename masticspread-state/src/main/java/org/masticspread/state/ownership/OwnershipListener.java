package org.masticspread.state.ownership;

import org.masticspread.model.id.ShardId;
import org.masticspread.model.result.MasticspreadException;
import org.masticspread.state.shard.WorkShardState;

/** Is told which shards this VM holds. Called from {@link ShardOwnership#tick}. */
public interface OwnershipListener {
  /**
   * A shard is held from now on and its state recovered.
   *
   * @param shard the shard
   * @param epoch the epoch, higher than all of former owners
   * @param state the recovered state; null for a rack shard
   */
  void acquired(ShardId shard, long epoch, WorkShardState state);

  /**
   * A shard is to go to another VM. Called at each tick until it returns true: take no new work for
   * the shard, let what is in flight end, then return true. Records may be appended until then. The
   * listener bounds the wait.
   *
   * @param shard the shard
   * @param epoch the epoch
   * @return whether nothing is in flight any more
   */
  boolean prepareRelease(ShardId shard, long epoch);

  /**
   * A shard is not held any more: it was handed over, or the session of this VM has ended.
   *
   * @param shard the shard
   * @param epoch the epoch under which it was held
   */
  void lost(ShardId shard, long epoch);

  /**
   * A shard that this VM should hold can't be recovered. It is tried again at each tick.
   *
   * @param shard the shard
   * @param error what is wrong
   */
  void recoveryFailed(ShardId shard, MasticspreadException error);
}
