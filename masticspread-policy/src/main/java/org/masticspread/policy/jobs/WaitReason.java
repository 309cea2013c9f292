package org.masticspread.policy.jobs;

/** Why a task waits. */
public enum WaitReason {
  /** Other work comes first by urgency, deadline or share. */
  TURN("other work comes first"),
  /** No rack shows room for its size. */
  NO_ROOM("no rack has room for its size"),
  /** Its team holds all that its quota allows. */
  QUOTA("the team holds its whole quota"),
  /** Its team is not configured or its pool has no rack. */
  NO_POOL("the team has no pool with racks"),
  /** Is given to a rack or to a gang planner. */
  GIVEN_OUT("a rack has been asked");

  private final String text;

  WaitReason(String text) {
    this.text = text;
  }

  /**
   * Returns the reason in words.
   *
   * @return a short phrase
   */
  public String text() {
    return text;
  }
}
