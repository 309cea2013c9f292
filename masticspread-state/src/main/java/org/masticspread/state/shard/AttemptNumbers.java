package org.masticspread.state.shard;

/**
 * Numbers of task attempts. The high bits hold the epoch of the work shard, the low bits a counter
 * within the epoch, so that every attempt of a new owner is numbered higher than all attempts of
 * former owners without a write to the store.
 *
 * <p>Example: {@code AttemptNumbers.next(epoch, AttemptNumbers.NONE)} is the first attempt of an
 * owner.
 */
public final class AttemptNumbers {
  /** The attempt number of a task that has not been attempted yet. */
  public static final int NONE = 0;

  /** The greatest epoch that fits into an attempt number. */
  public static final long MAX_EPOCH = (1L << 19) - 1;

  private static final int COUNT_BITS = 12;
  private static final int MAX_COUNT = (1 << COUNT_BITS) - 1;

  private AttemptNumbers() {}

  /**
   * Returns the next attempt of a task.
   *
   * @param epoch the epoch of the shard
   * @param last the last attempt known to this owner, or {@link #NONE}
   * @return the attempt number, greater than {@code last}
   * @throws ArithmeticException if the epoch is over {@link #MAX_EPOCH} or the counter of the epoch
   *     is exhausted
   * @throws IllegalArgumentException if the last attempt belongs to a later epoch
   */
  public static int next(long epoch, int last) {
    if (epoch < 1 || epoch > MAX_EPOCH) {
      throw new ArithmeticException("epoch " + epoch + " does not fit into an attempt number");
    }
    long lastEpoch = epochOf(last);
    if (lastEpoch > epoch) {
      throw new IllegalArgumentException(
          "attempt " + last + " belongs to a later epoch than " + epoch);
    }
    int count = lastEpoch == epoch ? (last & MAX_COUNT) + 1 : 1;
    if (count > MAX_COUNT) {
      throw new ArithmeticException("attempt numbers of epoch " + epoch + " are exhausted");
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
