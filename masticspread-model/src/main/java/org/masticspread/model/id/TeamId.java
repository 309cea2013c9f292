package org.masticspread.model.id;

/**
 * Identifies a team.
 *
 * @param value the text, a valid name according to {@link Names#RULE}
 */
public record TeamId(String value) implements Id, Comparable<TeamId> {
  /**
   * Checks the text.
   *
   * @throws IllegalArgumentException if the text is not a valid name
   */
  public TeamId {
    Names.require("team", value);
  }

  /**
   * Returns the identifier with the given text.
   *
   * @param value the text
   * @return the identifier
   * @throws IllegalArgumentException if the text is not a valid name
   */
  public static TeamId of(String value) {
    return new TeamId(value);
  }

  @Override
  public int compareTo(TeamId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
