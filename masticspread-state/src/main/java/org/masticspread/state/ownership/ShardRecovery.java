package org.masticspread.state.ownership;

import java.util.Optional;
import org.masticspread.model.id.ShardId;
import org.masticspread.model.platform.ObjectStore;
import org.masticspread.model.platform.Row;
import org.masticspread.model.platform.StoreException;
import org.masticspread.model.platform.TableService;
import org.masticspread.model.work.Payload;
import org.masticspread.state.format.RecordFormatException;
import org.masticspread.state.format.RecordFormatException.Problem;
import org.masticspread.state.journal.JournalBatch;
import org.masticspread.state.journal.JournalEntry;
import org.masticspread.state.journal.JournalReader;
import org.masticspread.state.shard.Retention;
import org.masticspread.state.shard.WorkShardState;

/**
 * Rebuilds the states of work shards from snapshots and journals for one round of takeovers,
 * scanning each journal once.
 *
 * <p>Example: {@code new ShardRecovery(table, objects, retention).recover(shard, row)}. Not
 * thread-safe.
 */
public final class ShardRecovery {
  private final TableService table;
  private final ObjectStore objects;
  private final Retention retention;
  private final JournalReader journals;

  /**
   * Creates the recovery for one round.
   *
   * @param table the table service
   * @param objects the object store
   * @param retention how long shards keep their records
   */
  public ShardRecovery(TableService table, ObjectStore objects, Retention retention) {
    this.table = table;
    this.objects = objects;
    this.retention = retention;
    this.journals = new JournalReader(table);
  }

  /**
   * Rebuilds a shard.
   *
   * @param shard the shard
   * @param row the row of the shard
   * @return the state
   * @throws StoreException if a store does not answer
   * @throws RecordFormatException if a record is corrupt, belongs to another key or shard, has a
   *     newer format version or is missing
   */
  public WorkShardState recover(ShardId shard, ShardRow row)
      throws StoreException, RecordFormatException {
    WorkShardState state = base(shard, row.snapshot());
    for (JournalSource source : row.sources()) {
      for (JournalBatch batch : journals.read(source.incarnation(), source.fromSeq())) {
        apply(state, source, batch);
      }
    }
    return state;
  }

  private WorkShardState base(ShardId shard, SnapshotRef snapshot)
      throws StoreException, RecordFormatException {
    if (snapshot == null) {
      return new WorkShardState(shard, retention);
    }
    String name = snapshot.name();
    Optional<Payload> content =
        snapshot.place() == SnapshotRef.Place.TABLE
            ? table.read(name).map(Row::value)
            : objects.get(name);
    if (content.isEmpty()) {
      throw new RecordFormatException(
          name, Problem.MISSING, "the shard row refers to this snapshot");
    }
    return WorkShardState.restore(name, shard, content.get(), retention);
  }

  private static void apply(WorkShardState state, JournalSource source, JournalBatch batch) {
    for (JournalEntry entry : batch.entries()) {
      if (entry.shard().equals(state.shard()) && entry.epoch() == source.epoch()) {
        state.apply(entry.record());
      }
    }
  }
}
