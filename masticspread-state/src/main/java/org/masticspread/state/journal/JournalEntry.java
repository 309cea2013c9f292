package org.masticspread.state.journal;

import org.masticspread.model.id.ShardId;
import org.masticspread.state.shard.JournalRecord;

/**
 * A record in the journal.
 *
 * @param shard the shard that the record changes
 * @param epoch the epoch of the shard under which its owner wrote the record
 * @param record the change
 */
public record JournalEntry(ShardId shard, long epoch, JournalRecord record) {}
