package org.masticspread.state.journal;

import java.util.List;
import org.masticspread.model.id.VmIncarnation;

/**
 * One row of a journal.
 *
 * @param incarnation the incarnation that wrote the row
 * @param seq the position in the journal, starting at 1
 * @param entries the records in their order; empty for a row that only resolves a lost answer
 */
public record JournalBatch(VmIncarnation incarnation, long seq, List<JournalEntry> entries) {
  /** Copies the list. */
  public JournalBatch {
    entries = List.copyOf(entries);
  }
}
