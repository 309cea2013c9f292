package org.masticspread.model.id;

/**
 * Identifies an entry VM.
 *
 * @param value the text, a valid name according to {@link Names#RULE}
 */
public record VmId(String value) implements Id, Comparable<VmId> {
  /**
   * Checks the text.
   *
   * @throws IllegalArgumentException if the text is not a valid name
   */
  public VmId {
    Names.require("vm", value);
  }

  /**
   * Returns the identifier with the given text.
   *
   * @param value the text
   * @return the identifier
   * @throws IllegalArgumentException if the text is not a valid name
   */
  public static VmId of(String value) {
    return new VmId(value);
  }

  @Override
  public int compareTo(VmId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
