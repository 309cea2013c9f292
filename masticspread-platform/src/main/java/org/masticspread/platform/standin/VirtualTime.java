package org.masticspread.platform.standin;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * A clock that stands still until it is moved; due tasks run in order of their instants.
 *
 * <p>Example: {@code VirtualTime time = VirtualTime.from(Instant.EPOCH); time.after(delay, task);
 * time.advance(delay);}. Thread-safe; tasks run on the thread that advances.
 */
public final class VirtualTime implements InstantSource, DelayedExecutor, Pause {
  private final Object lock = new Object();
  private final PriorityQueue<Due> queue =
      new PriorityQueue<>(Comparator.comparing(Due::at).thenComparing(Due::order));
  private Instant now;
  private long orders;

  private VirtualTime(Instant now) {
    this.now = now;
  }

  /**
   * Returns a clock.
   *
   * @param start its first instant
   * @return the clock
   */
  public static VirtualTime from(Instant start) {
    return new VirtualTime(start);
  }

  @Override
  public Instant instant() {
    synchronized (lock) {
      return now;
    }
  }

  @Override
  public void after(Duration delay, Runnable task) {
    synchronized (lock) {
      queue.add(new Due(now.plus(delay), orders++, task));
    }
  }

  @Override
  public void pause(Duration time) {
    advance(time);
  }

  /**
   * Moves the clock and runs what falls due, each task at its own instant.
   *
   * @param time how far to move
   */
  public void advance(Duration time) {
    Instant end = instant().plus(time);
    for (Due due = next(end); due != null; due = next(end)) {
      due.task().run();
    }
  }

  /**
   * Returns the number of tasks that wait.
   *
   * @return the number
   */
  public int waiting() {
    synchronized (lock) {
      return queue.size();
    }
  }

  private Due next(Instant end) {
    synchronized (lock) {
      Due due = queue.peek();
      if (due == null || due.at().isAfter(end)) {
        now = later(now, end);
        return null;
      }
      now = later(now, due.at());
      return queue.remove();
    }
  }

  private static Instant later(Instant a, Instant b) {
    return a.isAfter(b) ? a : b;
  }

  private record Due(Instant at, long order, Runnable task) {}
}
