package org.masticspread.model.id;

/**
 * Identifies an endpoint, the executor of requests.
 *
 * @param value the text, a valid name according to {@link Names#RULE}
 */
public record EndpointId(String value) implements Id, Comparable<EndpointId> {
  /**
   * Checks the text.
   *
   * @throws IllegalArgumentException if the text is not a valid name
   */
  public EndpointId {
    Names.require("endpoint", value);
  }

  /**
   * Returns the identifier with the given text.
   *
   * @param value the text
   * @return the identifier
   * @throws IllegalArgumentException if the text is not a valid name
   */
  public static EndpointId of(String value) {
    return new EndpointId(value);
  }

  @Override
  public int compareTo(EndpointId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
