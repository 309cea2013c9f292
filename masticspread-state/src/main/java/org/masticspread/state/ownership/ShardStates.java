package org.masticspread.state.ownership;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.masticspread.model.id.ShardId;
import org.masticspread.state.journal.JournalSink;
import org.masticspread.state.shard.JournalRecord;
import org.masticspread.state.shard.WorkShardState;

/**
 * The work shards that this VM holds, with their epochs. It is the sink of the journal.
 * Thread-safe.
 */
public final class ShardStates implements JournalSink {
  /**
   * A work shard that is held.
   *
   * @param epoch the epoch
   * @param state the state
   * @param sealed whether it takes no more records, because it is being handed over
   */
  private record Held(long epoch, WorkShardState state, boolean sealed) {}

  private final Map<ShardId, Held> held = new ConcurrentHashMap<>();

  /** Creates an empty set. */
  public ShardStates() {}

  void hold(ShardId shard, long epoch, WorkShardState state) {
    held.put(shard, new Held(epoch, state, false));
  }

  void seal(ShardId shard) {
    held.computeIfPresent(shard, (id, h) -> new Held(h.epoch(), h.state(), true));
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
    return Optional.ofNullable(held.get(shard)).map(Held::state);
  }

  @Override
  public boolean accepts(ShardId shard, long epoch) {
    Held found = held.get(shard);
    return found != null && found.epoch() == epoch && !found.sealed();
  }

  @Override
  public void onDurable(ShardId shard, long epoch, JournalRecord record) {
    Held found = held.get(shard);
    if (found != null && found.epoch() == epoch) {
      found.state().apply(record);
    }
  }
}
