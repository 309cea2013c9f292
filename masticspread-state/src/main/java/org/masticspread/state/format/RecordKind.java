package org.masticspread.state.format;

/** The kinds of stored records, each with its own format version. */
public enum RecordKind {
  /** The session row of a VM incarnation. */
  SESSION(1, 1),
  /** The fence row of a VM incarnation. */
  FENCE(2, 1),
  /** The last incarnation number of a VM. */
  INCARNATION(3, 1),
  /** The shard row with the owner of a shard. */
  SHARD(4, 1),
  /** One row of a journal, with a group of entries. */
  JOURNAL(5, 1),
  /** A snapshot of a work shard. */
  SNAPSHOT(6, 1),
  /** The latest configuration revision. */
  CONFIG_HEAD(7, 1),
  /** One configuration revision. */
  CONFIG_REVISION(8, 1),
  /** One audit entry. */
  AUDIT(9, 1);

  private final int number;
  private final int version;

  RecordKind(int number, int version) {
    this.number = number;
    this.version = version;
  }

  /**
   * Returns the number in the header of a record.
   *
   * @return the number, stable across releases
   */
  public int number() {
    return number;
  }

  /**
   * Returns the format version that this release writes, which is also the newest one that it
   * reads.
   *
   * @return the version, from 1
   */
  public int version() {
    return version;
  }
}
