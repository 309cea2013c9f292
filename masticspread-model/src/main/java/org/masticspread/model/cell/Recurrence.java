package org.masticspread.model.cell;

import java.time.Duration;
import java.time.Instant;

/**
 * When a job runs. A job that is not timed has one occurrence, due at once.
 *
 * @param occurrences how often the steps run; 0 for a job that is not timed
 * @param first when occurrence 0 is due
 * @param interval the time between two occurrences
 */
public record Recurrence(int occurrences, Instant first, Duration interval) {
  /** Runs once, at once. */
  public static final Recurrence ONCE = new Recurrence(0, Instant.EPOCH, Duration.ZERO);

  /**
   * Tells whether occurrences are due at given times.
   *
   * @return whether the job is timed
   */
  public boolean timed() {
    return occurrences > 0;
  }

  /**
   * Returns how often the steps run.
   *
   * @return at least 1
   */
  public int count() {
    return Math.max(1, occurrences);
  }

  /**
   * Returns when an occurrence is due.
   *
   * @param occurrence its number, from 0
   * @return the time of day; the epoch for a job that is not timed
   */
  public Instant due(int occurrence) {
    return first.plus(interval.multipliedBy(occurrence));
  }
}
