package org.masticspread.model.id;

/**
 * Identifies a rack of workers.
 *
 * @param value the text, a valid name according to {@link Names#RULE}
 */
public record RackId(String value) implements Id, Comparable<RackId> {
  /**
   * Checks the text.
   *
   * @throws IllegalArgumentException if the text is not a valid name
   */
  public RackId {
    Names.require("rack", value);
  }

  /**
   * Returns the identifier with the given text.
   *
   * @param value the text
   * @return the identifier
   * @throws IllegalArgumentException if the text is not a valid name
   */
  public static RackId of(String value) {
    return new RackId(value);
  }

  @Override
  public int compareTo(RackId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
