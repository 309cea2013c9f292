package org.masticspread.state.ownership;

import com.google.common.flogger.FluentLogger;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.masticspread.model.id.ShardKind;
import org.masticspread.model.platform.ConditionFailedException;
import org.masticspread.model.platform.Mutation;
import org.masticspread.model.platform.ObjectStore;
import org.masticspread.model.platform.StoreException;
import org.masticspread.model.result.MasticspreadException;
import org.masticspread.model.work.Payload;
import org.masticspread.state.format.StateKeys;
import org.masticspread.state.journal.Journal;
import org.masticspread.state.shard.WorkShardState;

/** Writes snapshots of held work shards. Guarded by the lock of {@link ShardOwnership}. */
final class ShardSnapshots {
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  /**
   * The content of a shard at a position in the journal.
   *
   * @param seq the first position that the content does not include
   * @param content the serialized content
   */
  private record Captured(long seq, Payload content) {}

  private final ShardTable table;
  private final ObjectStore objects;
  private final Journal journal;
  private final ShardStates states;
  private final OwnershipSettings settings;

  ShardSnapshots(
      ShardTable table,
      ObjectStore objects,
      Journal journal,
      ShardStates states,
      OwnershipSettings settings) {
    this.table = table;
    this.objects = objects;
    this.journal = journal;
    this.states = states;
    this.settings = settings;
  }

  /** Writes the due snapshots with the most rows to replay. Returns false at the first failure. */
  boolean writeDue(Collection<HeldShard> held) {
    long nextSeq = journal.nextSeq();
    long limit = settings.snapshotAfterRows();
    List<HeldShard> due =
        held.stream()
            .filter(h -> h.shard().kind() == ShardKind.WORK)
            .filter(h -> h.replayRows(nextSeq, limit) >= limit)
            .sorted(
                Comparator.comparingLong((HeldShard h) -> -h.replayRows(nextSeq, limit))
                    .thenComparing(HeldShard::shard))
            .limit(settings.maxSnapshotsPerTick())
            .toList();
    for (HeldShard shard : due) {
      if (!tryWrite(shard)) {
        return false;
      }
    }
    return true;
  }

  /** Writes a snapshot and returns whether the shard row refers to it. */
  boolean tryWrite(HeldShard held) {
    Optional<WorkShardState> state = states.state(held.shard());
    if (state.isEmpty()) {
      return false;
    }
    Captured captured = journal.atFlushBoundary(seq -> new Captured(seq, state.get().snapshot()));
    boolean fitsInTable = captured.content().sizeBytes() <= settings.maxTableSnapshotBytes();
    SnapshotRef ref = fitsInTable ? tableRef(held) : objectRef(held, captured.seq());
    ShardRow next = held.row().withSnapshot(ref, captured.seq());
    if (next.equals(held.row())) {
      return true;
    }
    try {
      write(held, next, captured.content());
    } catch (MasticspreadException e) {
      LOG.atWarning().log("ownership: snapshot of %s failed: %s", held.shard(), e.getMessage());
      return false;
    }
    SnapshotRef before = held.row().snapshot();
    held.refresh(next, held.version() + 1);
    if (before != null && before.place() == SnapshotRef.Place.OBJECTS) {
      deleteOldObjects(held);
    }
    return true;
  }

  private static SnapshotRef tableRef(HeldShard held) {
    return new SnapshotRef(SnapshotRef.Place.TABLE, StateKeys.tableSnapshot(held.shard()));
  }

  private static SnapshotRef objectRef(HeldShard held, long seq) {
    String name = StateKeys.snapshot(held.shard(), held.row().epoch(), seq);
    return new SnapshotRef(SnapshotRef.Place.OBJECTS, name);
  }

  private void write(HeldShard held, ShardRow next, Payload content)
      throws StoreException, ConditionFailedException {
    SnapshotRef ref = next.snapshot();
    String tableKey = StateKeys.tableSnapshot(held.shard());
    Mutation tableRow = Mutation.delete(tableKey);
    if (ref.place() == SnapshotRef.Place.TABLE) {
      tableRow = Mutation.put(tableKey, content);
    } else {
      objects.put(ref.name(), content);
    }
    table.write(held.shard(), held.version(), next, held.row().owner(), tableRow);
  }

  /** Deletes the snapshot objects of the shard up to its current epoch, except the one in use. */
  private void deleteOldObjects(HeldShard held) {
    String current = held.row().snapshot().name();
    String last = StateKeys.snapshot(held.shard(), held.row().epoch(), Long.MAX_VALUE);
    try {
      for (String name : objects.list(StateKeys.snapshots(held.shard()))) {
        if (name.compareTo(last) <= 0 && !name.equals(current)) {
          objects.delete(name);
        }
      }
    } catch (StoreException e) {
      LOG.atInfo().log(
          "ownership: deleting old snapshots of %s failed: %s", held.shard(), e.getMessage());
    }
  }
}
