package org.masticspread.model.id;

/**
 * Identifies a work class within its team.
 *
 * @param value the text, a valid name according to {@link Names#RULE}
 */
public record WorkClassId(String value) implements Id, Comparable<WorkClassId> {
  /**
   * Checks the text.
   *
   * @throws IllegalArgumentException if the text is not a valid name
   */
  public WorkClassId {
    Names.require("workClass", value);
  }

  /**
   * Returns the identifier with the given text.
   *
   * @param value the text
   * @return the identifier
   * @throws IllegalArgumentException if the text is not a valid name
   */
  public static WorkClassId of(String value) {
    return new WorkClassId(value);
  }

  @Override
  public int compareTo(WorkClassId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
