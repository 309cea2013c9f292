package org.masticspread.state.ownership;

/**
 * Where the snapshot of a shard is.
 *
 * @param place the store that holds it
 * @param name the key of the row or the name of the object
 */
public record SnapshotRef(Place place, String name) {
  /** The stores that hold snapshots. */
  public enum Place {
    /** The table service, written in one transaction with the shard row. */
    TABLE,
    /** The object store, written before the shard row. */
    OBJECTS
  }
}
