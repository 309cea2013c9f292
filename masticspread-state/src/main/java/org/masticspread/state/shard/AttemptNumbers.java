package org.masticspread.state.shard;

/**
 * Numbers of task attempts: the epoch of the work shard above a count within the epoch. Every
 * attempt of a new owner is higher than all of former owners, without a write to the store.
 *
 * <p>Example: {@code AttemptNumbers.next(epoch, AttemptNumbers.NONE)} is the first attempt of an
 * owner.
 */
public final class AttemptNumbers {
  /** The number before the first attempt. */
  public static final int NONE = 0;

  /** The greatest epoch that fits. */
  public static final long MAX_EPOCH = (1L << 19) - 1;

  private static final int COUNT_BITS = 12;
  private static final int MAX_COUNT = (1 << COUNT_BITS) - 1;

  private AttemptNumbers() {}

  /**
   * Returns the next attempt of a task.
   *
   * @param epoch the epoch of the shard
   * @param last the last attempt known to this owner, or {@link #NONE}
   * @return a greater number
   * @throws ArithmeticException if the epoch is over {@link #MAX_EPOCH} or its counts are used up
   * @throws IllegalArgumentException if the last attempt is of a later epoch
   */
  public static int next(long epoch, int last) {
    if (epoch < 1 || epoch > MAX_EPOCH) {
      throw new ArithmeticException("epoch " + epoch + " does not fit");
    }
    long lastEpoch = epochOf(last);
    if (lastEpoch > epoch) {
      throw new IllegalArgumentException("attempt " + last + " is later than epoch " + epoch);
    }
    int count = lastEpoch == epoch ? (last & MAX_COUNT) + 1 : 1;
    if (count > MAX_COUNT) {
      throw new ArithmeticException("attempts of epoch " + epoch + " are used up");
    }
    return ((int) epoch << COUNT_BITS) | count;
  }

  /**
   * Returns the epoch of an attempt.
   *
   * @param attempt the attempt
   * @return the epoch, 0 for {@link #NONE}
   */
  public static long epochOf(int attempt) {
    return Integer.toUnsignedLong(attempt) >>> COUNT_BITS;
  }
}
