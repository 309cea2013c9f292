package org.masticspread.node.member;

import org.masticspread.model.id.ShardId;

/**
 * Decides whether this VM may still act as the owner of its shards.
 *
 * <p>Example: {@code if (!authority.mayAct()) return;} before each start or renewal.
 */
@FunctionalInterface
public interface Authority {
  /**
   * Returns whether this VM may act now. It may while its session is held. It also may while the
   * store is unavailable to it and to every peer that it hears from, if these are at least half of
   * the cell, since no VM can have fenced it then.
   *
   * @return whether it may act
   */
  boolean mayAct();

  /**
   * Returns whether this VM may act for a shard under an epoch.
   *
   * @param shard the shard
   * @param epoch the epoch under which it owns the shard
   * @param members the members with the shard epochs that they report
   * @return whether it may act and no peer has reported a higher epoch
   */
  default boolean mayActFor(ShardId shard, long epoch, Members members) {
    return mayAct() && members.rackEpoch(shard) <= epoch;
  }
}
