package org.masticspread.state.ownership;

import org.masticspread.state.shard.Retention;

/**
 * The limits of shard ownership.
 *
 * @param retention how long shards keep their records
 * @param snapshotAfterRows the number of journal rows to replay after which a new snapshot is
 *     written
 * @param maxSnapshotsPerTick the maximum number of snapshots written in one tick
 * @param maxTableSnapshotBytes the size in bytes up to which a snapshot is stored in the table
 *     service, so that a takeover does not need the object store
 * @param maxTicksBetweenScans the number of ticks after which the shard rows are read even if
 *     nothing has changed
 */
public record OwnershipSettings(
    Retention retention,
    long snapshotAfterRows,
    int maxSnapshotsPerTick,
    int maxTableSnapshotBytes,
    int maxTicksBetweenScans) {
  /**
   * A snapshot after 1,000 rows, at most 4 per tick, up to 256 KiB in the table service, a scan at
   * least every 10 ticks.
   */
  public static final OwnershipSettings DEFAULT =
      new OwnershipSettings(Retention.DEFAULT, 1_000, 4, 256 * 1024, 10);
}
