package org.masticspread.cell.lead;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.function.LongConsumer;

/**
 * A monotonic clock that also counts the time for which the VM was suspended, during which the
 * platform's monotonic clock stands still and the wall clock does not. Ages that are measured by it
 * are never too low by more than {@link #MAX_CLOCK_GAP} and the error of the clocks.
 *
 * <p>A wall clock that is set forward counts as a suspension, which errs on the side of a higher
 * age. One that is set back changes nothing. Confined to the VM's thread.
 *
 * <pre>{@code
 * ElapsedClock clock = new ElapsedClock(ports.clock(), ports.timeOfDay(), gap -> askAgain());
 * long sent = clock.millis();
 * long age = clock.millis() - sent;
 * }</pre>
 */
final class ElapsedClock implements InstantSource {
  /**
   * Difference between both clocks from one read to the next above which the VM counts as
   * suspended; the leadership proof uses the same one. Smaller differences are added to the time,
   * so that many short suspensions count as well.
   */
  static final Duration MAX_CLOCK_GAP = Duration.ofMillis(150);

  private final InstantSource steady;
  private final InstantSource timeOfDay;
  private final LongConsumer onSuspended;

  /** The wall clock minus the monotonic clock at the latest read, in ms. */
  private long offsetMillis;

  /** The offset up to which {@link #suspendedMillis} counts. */
  private long countedOffsetMillis;

  private long suspendedMillis;
  private long wokeMillis = Long.MIN_VALUE;

  /**
   * Creates a clock.
   *
   * @param steady a monotonic clock, which stands still while the VM is suspended
   * @param timeOfDay the wall clock
   * @param onSuspended called with the length in ms when a suspension is noticed
   */
  ElapsedClock(InstantSource steady, InstantSource timeOfDay, LongConsumer onSuspended) {
    this.steady = steady;
    this.timeOfDay = timeOfDay;
    this.onSuspended = onSuspended;
    this.offsetMillis = -steady.millis() + timeOfDay.millis();
    this.countedOffsetMillis = offsetMillis;
  }

  @Override
  public Instant instant() {
    return Instant.ofEpochMilli(millis());
  }

  @Override
  public long millis() {
    // The wall clock is read last: a suspension between both reads makes the time later.
    long steadyMillis = steady.millis();
    long offset = timeOfDay.millis() - steadyMillis;
    long gap = offset - offsetMillis;
    offsetMillis = offset;
    if (gap > MAX_CLOCK_GAP.toMillis()) {
      suspendedMillis += gap;
      countedOffsetMillis = offset;
      wokeMillis = steadyMillis + suspendedMillis;
      onSuspended.accept(gap);
    } else if (offset > countedOffsetMillis) {
      suspendedMillis += offset - countedOffsetMillis;
      countedOffsetMillis = offset;
    } else if (offset < countedOffsetMillis - MAX_CLOCK_GAP.toMillis()) {
      countedOffsetMillis = offset;
    }
    return steadyMillis + suspendedMillis;
  }

  /** Returns the time of this clock at which a suspension was last noticed, or the lowest value. */
  long wokeMillis() {
    return wokeMillis;
  }
}
