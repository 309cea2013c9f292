package org.masticspread.state.journal;

import org.masticspread.model.id.ShardId;
import org.masticspread.state.shard.JournalRecord;

/** Decides which records a journal takes and receives them once they are durable. */
public interface JournalSink {
  /**
   * Tells whether a record may be appended.
   *
   * @param shard the shard
   * @param epoch the epoch of the shard
   * @return whether this VM holds the shard under that epoch
   */
  boolean accepts(ShardId shard, long epoch);

  /**
   * Receives a durable record, before the caller of the append hears of it. Calls come one after
   * another in the order of the journal.
   *
   * @param shard the shard
   * @param epoch the epoch of the shard
   * @param record the record
   */
  void onDurable(ShardId shard, long epoch, JournalRecord record);
}
