package org.masticspread.state.ownership;

import org.masticspread.model.id.ShardId;

/** A shard that this VM holds, with its row. Guarded by the lock of {@link ShardOwnership}. */
final class HeldShard {
  private final ShardId shard;
  private ShardRow row;
  private long version;
  private boolean releasing;

  HeldShard(ShardId shard, ShardRow row, long version) {
    this.shard = shard;
    this.row = row;
    this.version = version;
  }

  void refresh(ShardRow newRow, long newVersion) {
    row = newRow;
    version = newVersion;
  }

  /** From now on the shard is handed over, even if the wanted owner changes back. */
  void startRelease() {
    releasing = true;
  }

  boolean isReleasing() {
    return releasing;
  }

  ShardId shard() {
    return shard;
  }

  ShardRow row() {
    return row;
  }

  long version() {
    return version;
  }

  /** Returns the journal rows that a takeover would replay, counting each former owner as many. */
  long replayRows(long nextSeq, long rowsPerFormerOwner) {
    int last = row.sources().size() - 1;
    if (last < 0) {
      return 0;
    }
    return last * rowsPerFormerOwner + nextSeq - row.sources().get(last).fromSeq();
  }
}
