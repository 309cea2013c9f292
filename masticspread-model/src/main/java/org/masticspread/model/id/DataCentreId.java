package org.masticspread.model.id;

/**
 * Identifies a data centre.
 *
 * @param value the text, a valid name according to {@link Names#RULE}
 */
public record DataCentreId(String value) implements Id, Comparable<DataCentreId> {
  /**
   * Checks the text.
   *
   * @throws IllegalArgumentException if the text is not a valid name
   */
  public DataCentreId {
    Names.require("dataCentre", value);
  }

  /**
   * Returns the identifier with the given text.
   *
   * @param value the text
   * @return the identifier
   * @throws IllegalArgumentException if the text is not a valid name
   */
  public static DataCentreId of(String value) {
    return new DataCentreId(value);
  }

  @Override
  public int compareTo(DataCentreId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
