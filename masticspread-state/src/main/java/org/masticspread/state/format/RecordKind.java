package org.masticspread.state.format;

/** The kinds of stored records, each with its own format version. */
public enum RecordKind {
  /** The row of a VM incarnation. */
  SESSION(1, 1),
  /** The fence of a VM incarnation. */
  FENCE(2, 1),
  /** The last incarnation number of a VM. */
  INCARNATION(3, 1),
  /** The owner of a shard. */
  SHARD(4, 1),
  /** One group of journal entries. */
  JOURNAL(5, 1),
  /** The content of a work shard. */
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
   * Returns the newest format version that this release reads, and the one it writes.
   *
   * @return the version, from 1
   */
  public int version() {
    return version;
  }
}
