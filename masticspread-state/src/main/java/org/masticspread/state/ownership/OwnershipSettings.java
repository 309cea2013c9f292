package org.masticspread.state.ownership;

import org.masticspread.state.shard.Retention;

/**
 * The limits of shard ownership.
 *
 * @param retention how long shards remember
 * @param snapshotAfterRows the journal rows after which a shard gets a new snapshot
 * @param maxSnapshotsPerTick the most snapshots written in one tick
 * @param maxTableSnapshotBytes the size up to which a snapshot goes to the table service, so that a
 *     takeover does not need the object store
 * @param maxTicksBetweenScans the ticks after which the shard rows are read although nothing has
 *     changed
 */
public record OwnershipSettings(
    Retention retention,
    long snapshotAfterRows,
    int maxSnapshotsPerTick,
    int maxTableSnapshotBytes,
    int maxTicksBetweenScans) {
  /** A snapshot after 1,000 rows, at most 4 in a tick, up to 256 KiB in the table service. */
  public static final OwnershipSettings DEFAULT =
      new OwnershipSettings(Retention.DEFAULT, 1_000, 4, 256 * 1024, 10);
}
