package org.masticspread.model.id;

/**
 * Identifies a job within its team.
 *
 * @param value the text, a valid name according to {@link Names#RULE}
 */
public record JobId(String value) implements Id, Comparable<JobId> {
  /**
   * Checks the text.
   *
   * @throws IllegalArgumentException if the text is not a valid name
   */
  public JobId {
    Names.require("job", value);
  }

  /**
   * Returns the identifier with the given text.
   *
   * @param value the text
   * @return the identifier
   * @throws IllegalArgumentException if the text is not a valid name
   */
  public static JobId of(String value) {
    return new JobId(value);
  }

  @Override
  public int compareTo(JobId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
