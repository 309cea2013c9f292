package org.masticspread.policy.gang;

import java.time.Duration;

/**
 * The times of a {@link GangPlanner}.
 *
 * @param ttl how long a reservation stands without renewal
 * @param replyTimeout how long to wait for the answer of a rack owner
 * @param retry how long to wait before an incomplete gang asks the racks again
 * @param startMargin how much time the oldest reservation must have left at the start
 * @param minHold how long a gang that has just arrived keeps incomplete reservations
 * @param maxHold how long any gang keeps incomplete reservations
 * @param minBackoff the shortest pause after giving up
 * @param maxBackoff the longest pause after giving up
 */
public record GangTimes(
    Duration ttl,
    Duration replyTimeout,
    Duration retry,
    Duration startMargin,
    Duration minHold,
    Duration maxHold,
    Duration minBackoff,
    Duration maxBackoff) {

  /** Times for racks that answer within milliseconds. */
  public static final GangTimes DEFAULT =
      new GangTimes(
          Duration.ofSeconds(10),
          Duration.ofSeconds(1),
          Duration.ofMillis(500),
          Duration.ofSeconds(2),
          Duration.ofSeconds(1),
          Duration.ofSeconds(20),
          Duration.ofMillis(200),
          Duration.ofSeconds(5));
}
