package org.masticspread.policy.gang;

import java.time.Duration;

/**
 * The timing parameters of a {@link GangPlanner}.
 *
 * @param ttl the time to live of a reservation without renewal
 * @param replyTimeout the timeout for the answer of a rack owner
 * @param retry the delay before an incomplete gang asks the racks again
 * @param startMargin the minimum remaining life of each reservation at the start
 * @param minHold how long a newly submitted gang keeps incomplete reservations
 * @param maxHold the maximum time that any gang keeps incomplete reservations
 * @param minBackoff the minimum backoff after giving up
 * @param maxBackoff the maximum backoff after giving up
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

  /** Parameters for racks that answer within milliseconds. */
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
