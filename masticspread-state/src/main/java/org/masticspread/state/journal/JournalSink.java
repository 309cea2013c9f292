package org.masticspread.state.journal;

import org.masticspread.model.id.ShardId;
import org.masticspread.state.shard.JournalRecord;

/** Decides which records a journal accepts and receives them once they are durable. */
public interface JournalSink {
  /**
   * Returns whether a record may be appended.
   *
   * @param shard the shard
   * @param epoch the epoch of the shard
   * @return whether this VM holds the shard under that epoch
   */
  boolean accepts(ShardId shard, long epoch);

  /**
   * Receives a durable record before the stage of its append completes. Calls are serial, in
   * journal order.
   *
   * @param shard the shard
   * @param epoch the epoch of the shard
   * @param record the record
   */
  void onDurable(ShardId shard, long epoch, JournalRecord record);
}
