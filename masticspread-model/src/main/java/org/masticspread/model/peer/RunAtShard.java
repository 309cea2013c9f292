package org.masticspread.model.peer;

import org.masticspread.model.id.ShardId;
import org.masticspread.model.work.RequestSpec;

/**
 * Runs a request that must run at most once, at the owner of its work shard. Answered by {@link
 * RequestAnswered}.
 *
 * @param shard the work shard
 * @param request the request
 */
public record RunAtShard(ShardId shard, RequestSpec request) implements PeerMessage {}
