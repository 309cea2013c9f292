package org.masticspread.state.ownership;

import org.masticspread.model.id.VmIncarnation;

/**
 * Who owns a shard, as last read.
 *
 * @param owner the incarnation; null when the shard is released
 * @param epoch the epoch
 */
public record ShardOwner(VmIncarnation owner, long epoch) {}
