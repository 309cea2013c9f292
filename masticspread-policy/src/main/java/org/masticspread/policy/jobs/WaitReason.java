package org.masticspread.policy.jobs;

/** The reason why a task waits. */
public enum WaitReason {
  /** Other work has precedence by urgency, deadline or share. */
  TURN("other work comes first"),
  /** No rack reports enough room for its size. */
  NO_ROOM("no rack has room for its size"),
  /** The team has used up its quota. */
  QUOTA("the team has used up its quota"),
  /** The team is not configured or its pool has no rack. */
  NO_POOL("the team has no pool with racks"),
  /** The task was assigned to a rack or to a gang planner. */
  GIVEN_OUT("waiting for the answer of a rack");

  private final String text;

  WaitReason(String text) {
    this.text = text;
  }

  /**
   * Returns the reason as text.
   *
   * @return a short phrase
   */
  public String text() {
    return text;
  }
}
