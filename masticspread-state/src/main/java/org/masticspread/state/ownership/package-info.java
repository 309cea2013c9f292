/**
 * Ownership of shards by epochs in shard rows, handover and recovery.
 *
 * <p>Call order: build {@code ShardStates}, {@code Journal} over them and {@code ShardOwnership}
 * over all; then {@code ShardOwnership.tick} after each {@code SessionWatcher.tick}.
 */
package org.masticspread.state.ownership;
