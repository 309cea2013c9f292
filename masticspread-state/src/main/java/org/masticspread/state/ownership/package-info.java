/**
 * Shard ownership, protected by epochs in the shard rows, with handover and recovery.
 *
 * <p>Call order: create {@code ShardStates}, a {@code Journal} with the states as its sink and
 * {@code ShardOwnership} with both; then call {@code ShardOwnership.tick} after each {@code
 * SessionWatcher.tick}.
 */
package org.masticspread.state.ownership;
