package org.masticspread.cell.testing;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.masticspread.cell.port.Timers;

/** A clock that stands until it is moved, and the actions that are due as it moves. */
public final class VirtualTime implements InstantSource, Timers {
  private final PriorityQueue<Due> queue =
      new PriorityQueue<>(Comparator.comparingLong(Due::atMillis).thenComparingLong(Due::order));
  private long nowMillis = 1_000_000;
  private long order;
  private int millisPerRead;

  private record Due(long atMillis, long order, Runnable action) {}

  @Override
  public void after(Duration delay, Runnable action) {
    queue.add(new Due(nowMillis + delay.toMillis(), order++, action));
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

  /** Lets the clock go on while it is read, as on a VM that is busy; 0 to let it stand. */
  public void advanceOnRead(int newMillisPerRead) {
    millisPerRead = newMillisPerRead;
  }

  /** Moves the clock and runs what is due on the way. */
  public void pass(Duration time) {
    long until = nowMillis + time.toMillis();
    while (!queue.isEmpty() && queue.peek().atMillis() <= until) {
      Due due = queue.poll();
      nowMillis = Math.max(nowMillis, due.atMillis());
      due.action().run();
    }
    nowMillis = until;
  }
}
