package org.masticspread.model.platform;

/**
 * A condition of a transaction: a row must have a version.
 *
 * @param key the key of the row
 * @param version the version it must have; 0 when the row must be absent
 */
public record Condition(String key, long version) {

  /** The version that stands for an absent row. */
  public static final long ABSENT = 0;
}
