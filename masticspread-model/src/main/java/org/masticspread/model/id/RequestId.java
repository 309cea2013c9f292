package org.masticspread.model.id;

/**
 * Identifies a request within its team.
 *
 * @param value the text, a valid name according to {@link Names#RULE}
 */
public record RequestId(String value) implements Id, Comparable<RequestId> {
  /**
   * Checks the text.
   *
   * @throws IllegalArgumentException if the text is not a valid name
   */
  public RequestId {
    Names.require("request", value);
  }

  /**
   * Returns the identifier with the given text.
   *
   * @param value the text
   * @return the identifier
   * @throws IllegalArgumentException if the text is not a valid name
   */
  public static RequestId of(String value) {
    return new RequestId(value);
  }

  @Override
  public int compareTo(RequestId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
