package org.masticspread.model.peer;

import org.masticspread.model.id.ShardId;

/**
 * A shard and its epoch.
 *
 * @param shard the shard
 * @param epoch the epoch
 */
public record ShardEpoch(ShardId shard, long epoch) {}
