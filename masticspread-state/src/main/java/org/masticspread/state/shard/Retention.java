package org.masticspread.state.shard;

import java.time.Duration;

/**
 * How long a work shard remembers.
 *
 * @param requests how long the answer of a request is kept
 * @param jobs how long a job is kept after its end
 * @param hashes how long the hash of a forgotten id is kept after that; a repeat within this time
 *     is answered as expired
 * @param maxAnswerTime the longest time until the answer-by instant of a request
 */
public record Retention(Duration requests, Duration jobs, Duration hashes, Duration maxAnswerTime) {
  /** Answers for an hour, jobs for a day, hashes for another day, answers within 10 minutes. */
  public static final Retention DEFAULT =
      new Retention(
          Duration.ofHours(1), Duration.ofDays(1), Duration.ofDays(1), Duration.ofMinutes(10));

  /**
   * Checks the times.
   *
   * @throws IllegalArgumentException if answers are not kept longer than a request may take
   */
  public Retention {
    if (requests.compareTo(maxAnswerTime) <= 0) {
      throw new IllegalArgumentException("requests: must be longer than maxAnswerTime");
    }
  }
}
