package org.masticspread.state.journal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.masticspread.model.id.VmIncarnation;
import org.masticspread.model.platform.Row;
import org.masticspread.model.platform.StoreException;
import org.masticspread.model.platform.TableService;
import org.masticspread.state.format.Envelope;
import org.masticspread.state.format.RecordFormatException;
import org.masticspread.state.format.RecordFormatException.Problem;
import org.masticspread.state.format.RecordKind;
import org.masticspread.state.format.StateKeys;
import org.masticspread.state.internal.Scans;

/**
 * Reads journals. Each journal is scanned once per reader, however many shards are recovered from
 * it. Create a reader after the writers were fenced and use it for one round of recovery only. Not
 * thread-safe.
 */
public final class JournalReader {
  private final TableService table;
  private final Map<VmIncarnation, List<JournalBatch>> batches = new HashMap<>();

  /**
   * Creates a reader.
   *
   * @param table the table service
   */
  public JournalReader(TableService table) {
    this.table = table;
  }

  /**
   * Reads the rows of a journal.
   *
   * @param incarnation the incarnation that wrote the journal
   * @param fromSeq the first position to return
   * @return the rows in their order
   * @throws StoreException if the store does not answer
   * @throws RecordFormatException if a row is corrupt, belongs to another key, has a newer format
   *     version or is missing
   */
  public List<JournalBatch> read(VmIncarnation incarnation, long fromSeq)
      throws StoreException, RecordFormatException {
    List<JournalBatch> all = batches.get(incarnation);
    if (all == null) {
      all = scan(incarnation);
      batches.put(incarnation, all);
    }
    List<JournalBatch> wanted = all.stream().filter(b -> b.seq() >= fromSeq).toList();
    long expected = fromSeq;
    for (JournalBatch batch : wanted) {
      if (batch.seq() != expected) {
        String key = StateKeys.journal(incarnation, expected);
        throw new RecordFormatException(key, Problem.MISSING, "a later row of the journal exists");
      }
      expected++;
    }
    return wanted;
  }

  private List<JournalBatch> scan(VmIncarnation incarnation)
      throws StoreException, RecordFormatException {
    List<JournalBatch> read = new ArrayList<>();
    for (Row row : Scans.all(table, StateKeys.journal(incarnation), "")) {
      JournalBatch batch =
          Envelope.open(row.key(), row.value(), RecordKind.JOURNAL, JournalBatch.class);
      if (!row.key().equals(StateKeys.journal(batch.incarnation(), batch.seq()))) {
        throw new RecordFormatException(
            row.key(), Problem.FOREIGN, "the row belongs to another key");
      }
      read.add(batch);
    }
    return read;
  }
}
