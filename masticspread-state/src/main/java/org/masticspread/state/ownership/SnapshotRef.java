package org.masticspread.state.ownership;

/**
 * The location of the snapshot of a shard.
 *
 * @param place the store that contains the snapshot
 * @param name the key of the row or the name of the object
 */
public record SnapshotRef(Place place, String name) {
  /** A store for snapshots. */
  public enum Place {
    /** The table service, written in one transaction with the shard row. */
    TABLE,
    /** The object store, written before the shard row. */
    OBJECTS
  }
}
