package org.masticspread.state.ownership;

import org.masticspread.model.id.ShardId;

/**
 * A shard that this VM holds, with its shard row. Guarded by the lock of {@link ShardOwnership}.
 */
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

  /** Starts the handover. It is not cancelled, even if this VM becomes the desired owner again. */
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

  /**
   * Estimates the journal rows that a takeover would replay, counting {@code rowsPerFormerOwner}
   * for each former owner.
   */
  long replayRows(long nextSeq, long rowsPerFormerOwner) {
    int last = row.sources().size() - 1;
    if (last < 0) {
      return 0;
    }
    return last * rowsPerFormerOwner + nextSeq - row.sources().get(last).fromSeq();
  }
}
