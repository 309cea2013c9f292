package org.masticspread.state.ownership;

import com.google.common.flogger.FluentLogger;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.masticspread.model.id.ShardKind;
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
   * The content of a shard at a position of the journal.
   *
   * @param seq the first position that is not in it
   * @param content the bytes
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

  /** Writes the snapshots that shorten a takeover most; stops at the first failure. */
  void writeDue(Collection<HeldShard> held) {
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
        return;
      }
    }
  }

  /** Returns whether the shard row refers to a snapshot written now. */
  boolean tryWrite(HeldShard held) {
    Optional<WorkShardState> state = states.state(held.shard());
    if (state.isEmpty()) {
      return false;
    }
    Captured captured = journal.atBoundary(seq -> new Captured(seq, state.get().snapshot()));
    String name = StateKeys.snapshot(held.shard(), held.row().epoch(), captured.seq());
    ShardRow next = held.row().withSnapshot(name, captured.seq());
    if (next.equals(held.row())) {
      return true;
    }
    try {
      objects.put(name, captured.content());
      table.write(held.shard(), held.version(), next, held.row().owner());
    } catch (MasticspreadException e) {
      LOG.atWarning().log("ownership: snapshot of %s failed: %s", held.shard(), e.getMessage());
      return false;
    }
    held.refresh(next, held.version() + 1);
    deleteOlder(held, name);
    return true;
  }

  private void deleteOlder(HeldShard held, String current) {
    try {
      for (String name : objects.list(StateKeys.snapshots(held.shard()))) {
        if (name.compareTo(current) < 0) {
          objects.delete(name);
        }
      }
    } catch (StoreException e) {
      LOG.atInfo().log("ownership: old snapshots of %s: %s", held.shard(), e.getMessage());
    }
  }
}
