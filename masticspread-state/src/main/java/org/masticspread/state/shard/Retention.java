package org.masticspread.state.shard;

import java.time.Duration;

/**
 * How long a work shard keeps its records.
 *
 * @param requests how long the answer of a request is kept
 * @param jobs how long a job is kept after its end
 * @param hashes how long the hash of an id is kept after its record has expired; a repeat within
 *     this time is answered with RECORD_EXPIRED
 * @param maxAnswerTime the maximum time until the answer-by instant of a request
 */
public record Retention(Duration requests, Duration jobs, Duration hashes, Duration maxAnswerTime) {
  /**
   * Keeps answers for 1 hour, jobs and hashes for 1 day each; requests must be answered within 10
   * minutes.
   */
  public static final Retention DEFAULT =
      new Retention(
          Duration.ofHours(1), Duration.ofDays(1), Duration.ofDays(1), Duration.ofMinutes(10));

  /**
   * Validates the durations.
   *
   * @throws IllegalArgumentException if answers are not kept longer than the maximum answer time
   */
  public Retention {
    if (requests.compareTo(maxAnswerTime) <= 0) {
      throw new IllegalArgumentException("requests: must be longer than maxAnswerTime");
    }
  }
}
