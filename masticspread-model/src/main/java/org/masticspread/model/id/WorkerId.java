package org.masticspread.model.id;

/**
 * Identifies a worker.
 *
 * @param value the text, a valid name according to {@link Names#RULE}
 */
public record WorkerId(String value) implements Id, Comparable<WorkerId> {
  /**
   * Checks the text.
   *
   * @throws IllegalArgumentException if the text is not a valid name
   */
  public WorkerId {
    Names.require("worker", value);
  }

  /**
   * Returns the identifier with the given text.
   *
   * @param value the text
   * @return the identifier
   * @throws IllegalArgumentException if the text is not a valid name
   */
  public static WorkerId of(String value) {
    return new WorkerId(value);
  }

  @Override
  public int compareTo(WorkerId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
