package org.masticspread.cell.testing;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.masticspread.cell.port.Timers;

/** A clock that advances only when told to, and the actions scheduled on it. */
public final class VirtualTime implements InstantSource, Timers {
  private final PriorityQueue<ScheduledAction> queue =
      new PriorityQueue<>(
          Comparator.comparingLong(ScheduledAction::atMillis)
              .thenComparingLong(ScheduledAction::sequence));
  private long nowMillis = 1_000_000;
  private long sequence;
  private int millisPerRead;

  private record ScheduledAction(long atMillis, long sequence, Runnable action) {}

  @Override
  public void after(Duration delay, Runnable action) {
    queue.add(new ScheduledAction(nowMillis + delay.toMillis(), sequence++, action));
  }

  @Override
  public Instant instant() {
    return Instant.ofEpochMilli(nowMillis);
  }

  @Override
  public long millis() {
    nowMillis += millisPerRead;
    return nowMillis;
  }

  /** Advances the clock at each read, as on a busy VM; 0 disables this. */
  public void advanceOnRead(int newMillisPerRead) {
    millisPerRead = newMillisPerRead;
  }

  /** Advances the clock and runs the actions that become due. */
  public void pass(Duration time) {
    long until = nowMillis + time.toMillis();
    while (!queue.isEmpty() && queue.peek().atMillis() <= until) {
      ScheduledAction next = queue.poll();
      nowMillis = Math.max(nowMillis, next.atMillis());
      next.action().run();
    }
    nowMillis = until;
  }
}
