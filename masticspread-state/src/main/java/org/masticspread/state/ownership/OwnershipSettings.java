package org.masticspread.state.ownership;

import org.masticspread.state.shard.Retention;

/**
 * The limits of shard ownership.
 *
 * @param retention how long shards remember
 * @param snapshotAfterRows the journal rows after which a shard gets a new snapshot
 * @param maxSnapshotsPerTick the most snapshots written in one tick
 */
public record OwnershipSettings(
    Retention retention, long snapshotAfterRows, int maxSnapshotsPerTick) {
  /** A snapshot after 1,000 rows, at most 4 in a tick. */
  public static final OwnershipSettings DEFAULT =
      new OwnershipSettings(Retention.DEFAULT, 1_000, 4);
}
