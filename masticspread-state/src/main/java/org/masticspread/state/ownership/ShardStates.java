package org.masticspread.state.ownership;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.masticspread.model.id.ShardId;
import org.masticspread.state.journal.JournalSink;
import org.masticspread.state.shard.JournalRecord;
import org.masticspread.state.shard.WorkShardState;

/**
 * The states and epochs of the work shards that this VM holds. Implements the sink of the journal.
 * Thread-safe.
 */
public final class ShardStates implements JournalSink {
  /**
   * A work shard held by this VM.
   *
   * @param epoch the epoch
   * @param state the state
   * @param sealed whether the shard accepts no more records because it is being handed over
   */
  private record HeldState(long epoch, WorkShardState state, boolean sealed) {}

  private final Map<ShardId, HeldState> held = new ConcurrentHashMap<>();

  /** Creates an empty set. */
  public ShardStates() {}

  void hold(ShardId shard, long epoch, WorkShardState state) {
    held.put(shard, new HeldState(epoch, state, false));
  }

  void seal(ShardId shard) {
    held.computeIfPresent(shard, (id, h) -> new HeldState(h.epoch(), h.state(), true));
  }

  void drop(ShardId shard) {
    held.remove(shard);
  }

  /**
   * Returns the state of a work shard.
   *
   * @param shard the shard
   * @return the state, or empty if it is not held
   */
  public Optional<WorkShardState> state(ShardId shard) {
    return Optional.ofNullable(held.get(shard)).map(HeldState::state);
  }

  @Override
  public boolean accepts(ShardId shard, long epoch) {
    HeldState found = held.get(shard);
    return found != null && found.epoch() == epoch && !found.sealed();
  }

  @Override
  public void onDurable(ShardId shard, long epoch, JournalRecord record) {
    HeldState found = held.get(shard);
    if (found != null && found.epoch() == epoch) {
      found.state().apply(record);
    }
  }
}
