package org.masticspread.model.cell;

import java.time.DateTimeException;
import java.time.Duration;
import java.time.Instant;

/**
 * The schedule of a job. An untimed job has one occurrence, which is due at once.
 *
 * @param occurrences the number of occurrences; 0 for an untimed job
 * @param first when occurrence 0 is due
 * @param interval the interval between two occurrences
 */
public record Recurrence(int occurrences, Instant first, Duration interval) {
  private static final Instant LATEST = Instant.parse("9999-12-31T00:00:00Z");

  /** The schedule of an untimed job. */
  public static final Recurrence ONCE = new Recurrence(0, Instant.EPOCH, Duration.ZERO);

  /**
   * Returns whether the occurrences are due at given times.
   *
   * @return whether the job is timed
   */
  public boolean timed() {
    return occurrences > 0;
  }

  /**
   * Returns the number of times the steps run.
   *
   * @return at least 1
   */
  public int count() {
    return Math.max(1, occurrences);
  }

  /**
   * Returns when an occurrence is due.
   *
   * @param occurrence the number of the occurrence, from 0
   * @return the due time, from 1970 to the year 9999; the epoch for an untimed job
   */
  public Instant due(int occurrence) {
    try {
      Instant due = first.plus(interval.multipliedBy(occurrence));
      return due.isBefore(Instant.EPOCH) ? Instant.EPOCH : due.isAfter(LATEST) ? LATEST : due;
    } catch (ArithmeticException | DateTimeException e) {
      return interval.isNegative() ? Instant.EPOCH : LATEST;
    }
  }
}
