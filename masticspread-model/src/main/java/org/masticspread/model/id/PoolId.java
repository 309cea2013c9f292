package org.masticspread.model.id;

/**
 * Identifies a pool of endpoints and workers.
 *
 * @param value the text, a valid name according to {@link Names#RULE}
 */
public record PoolId(String value) implements Id, Comparable<PoolId> {
  /**
   * Checks the text.
   *
   * @throws IllegalArgumentException if the text is not a valid name
   */
  public PoolId {
    Names.require("pool", value);
  }

  /**
   * Returns the identifier with the given text.
   *
   * @param value the text
   * @return the identifier
   * @throws IllegalArgumentException if the text is not a valid name
   */
  public static PoolId of(String value) {
    return new PoolId(value);
  }

  @Override
  public int compareTo(PoolId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
