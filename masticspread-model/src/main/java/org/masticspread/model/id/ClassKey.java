package org.masticspread.model.id;

/**
 * Names a work class together with its team.
 *
 * @param team the team
 * @param workClass the work class
 */
public record ClassKey(TeamId team, WorkClassId workClass) {

  /**
   * Returns the key of a work class.
   *
   * @param team the text of the team
   * @param workClass the text of the work class
   * @return the key
   * @throws IllegalArgumentException if a text is not a valid name
   */
  public static ClassKey of(String team, String workClass) {
    return new ClassKey(TeamId.of(team), WorkClassId.of(workClass));
  }

  @Override
  public String toString() {
    return team + "/" + workClass;
  }
}
