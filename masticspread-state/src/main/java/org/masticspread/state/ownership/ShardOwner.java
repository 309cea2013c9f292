package org.masticspread.state.ownership;

import org.masticspread.model.id.VmIncarnation;

/**
 * The owner of a shard as last read.
 *
 * @param owner the owning incarnation; null if the shard is released
 * @param epoch the epoch of the shard
 */
public record ShardOwner(VmIncarnation owner, long epoch) {}
