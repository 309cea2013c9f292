package org.masticspread.node.member;

import org.masticspread.model.id.ShardId;

/**
 * Tells whether this VM may still act as the owner of its shards.
 *
 * <p>Example: {@code if (!authority.mayAct()) return;} before each start or renewal.
 */
@FunctionalInterface
public interface Authority {
  /**
   * Tells whether this VM may act now: its session is held, or the store is out of reach for it and
   * for every peer it hears, which are at least half of the cell, so that nobody can have fenced
   * it.
   *
   * @return whether it may act
   */
  boolean mayAct();

  /**
   * Tells whether this VM may act for a shard under an epoch.
   *
   * @param shard the shard
   * @param epoch the epoch under which it owns the shard
   * @param members knows the epochs that peers have told
   * @return whether it may act and no peer has told a higher epoch
   */
  default boolean mayActFor(ShardId shard, long epoch, Members members) {
    return mayAct() && members.rackEpoch(shard) <= epoch;
  }
}
