package org.masticspread.state.ownership;

import org.masticspread.model.id.VmIncarnation;

/**
 * The part of a journal to replay for a shard.
 *
 * @param incarnation the incarnation that wrote the journal
 * @param fromSeq the first position to replay
 * @param epoch the epoch of the records to apply; records of other epochs are skipped
 */
public record JournalSource(VmIncarnation incarnation, long fromSeq, long epoch) {}
