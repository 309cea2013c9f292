package org.masticspread.state.ownership;

import org.masticspread.model.id.VmIncarnation;

/**
 * A part of a journal that a shard's state is made from.
 *
 * @param incarnation the incarnation that wrote it
 * @param fromSeq the first position
 * @param epoch the epoch of the records that count
 */
public record JournalSource(VmIncarnation incarnation, long fromSeq, long epoch) {}
