package org.masticspread.model.id;

/** The kind of a shard. */
public enum ShardKind {
  /** Holds jobs and request records, partitioned by the hash of team and id. */
  WORK,
  /** Manages the workers of one rack. */
  RACK
}
