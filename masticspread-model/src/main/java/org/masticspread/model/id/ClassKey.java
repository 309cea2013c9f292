package org.masticspread.model.id;

/**
 * Identifies a work class by its team and id.
 *
 * @param team the team
 * @param workClass the work class
 */
public record ClassKey(TeamId team, WorkClassId workClass) {

  /**
   * Returns the key of a work class.
   *
   * @param team the id of the team
   * @param workClass the id of the work class
   * @return the key
   * @throws IllegalArgumentException if an id is not a valid name
   */
  public static ClassKey of(String team, String workClass) {
    return new ClassKey(TeamId.of(team), WorkClassId.of(workClass));
  }

  @Override
  public String toString() {
    return team + "/" + workClass;
  }
}
