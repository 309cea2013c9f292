package org.masticspread.state.journal;

import org.masticspread.model.id.ShardId;
import org.masticspread.state.shard.JournalRecord;

/**
 * A record in the journal.
 *
 * @param shard the shard it changes
 * @param epoch the epoch under which its owner wrote it
 * @param record the change
 */
public record JournalEntry(ShardId shard, long epoch, JournalRecord record) {}
