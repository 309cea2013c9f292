package org.masticspread.model.platform;

/**
 * A condition of a transaction: a row must have a given version.
 *
 * @param key the key of the row
 * @param version the required version; 0 if the row must be absent
 */
public record Condition(String key, long version) {

  /** The version that denotes an absent row. */
  public static final long ABSENT = 0;
}
