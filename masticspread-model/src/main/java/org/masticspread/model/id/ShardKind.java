package org.masticspread.model.id;

/** The kinds of shards. */
public enum ShardKind {
  /** Jobs and request records, by hash of team and id. */
  WORK,
  /** The workers of one rack. */
  RACK
}
