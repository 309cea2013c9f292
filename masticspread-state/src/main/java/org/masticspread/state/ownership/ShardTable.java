package org.masticspread.state.ownership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.masticspread.model.id.ShardId;
import org.masticspread.model.id.VmIncarnation;
import org.masticspread.model.platform.Condition;
import org.masticspread.model.platform.ConditionFailedException;
import org.masticspread.model.platform.Mutation;
import org.masticspread.model.platform.Row;
import org.masticspread.model.platform.StoreException;
import org.masticspread.model.platform.TableService;
import org.masticspread.model.platform.Transaction;
import org.masticspread.state.format.Envelope;
import org.masticspread.state.format.RecordFormatException;
import org.masticspread.state.format.RecordKind;
import org.masticspread.state.format.StateKeys;
import org.masticspread.state.internal.Scans;
import org.masticspread.state.session.FenceRow;

/** Reads and writes the shard rows in the table service. */
final class ShardTable {
  /**
   * A shard row with its version.
   *
   * @param row the row
   * @param version the version; {@link Condition#ABSENT} if the row was never written
   */
  record Versioned(ShardRow row, long version) {
    static final Versioned NEVER_OWNED = new Versioned(ShardRow.NEVER_OWNED, Condition.ABSENT);
  }

  private final TableService table;

  ShardTable(TableService table) {
    this.table = table;
  }

  Map<ShardId, Versioned> scan() throws StoreException, RecordFormatException {
    Map<ShardId, Versioned> rows = new HashMap<>();
    for (Row row : Scans.all(table, StateKeys.SHARDS, "")) {
      ShardRow shard = Envelope.open(row.key(), row.value(), RecordKind.SHARD, ShardRow.class);
      rows.put(StateKeys.shardOf(row.key()), new Versioned(shard, row.version()));
    }
    return rows;
  }

  /**
   * Writes a shard row and other mutations in one transaction, on condition that the shard row has
   * the given version and the session of the writer is open.
   */
  void write(ShardId shard, long version, ShardRow row, VmIncarnation writer, Mutation... others)
      throws StoreException, ConditionFailedException {
    String key = StateKeys.shard(shard);
    List<Condition> conditions = new ArrayList<>();
    conditions.add(new Condition(key, version));
    conditions.add(FenceRow.open(writer));
    List<Mutation> mutations = new ArrayList<>();
    mutations.add(Mutation.put(key, Envelope.seal(RecordKind.SHARD, row)));
    mutations.addAll(List.of(others));
    table.commit(new Transaction(conditions, mutations));
  }
}
