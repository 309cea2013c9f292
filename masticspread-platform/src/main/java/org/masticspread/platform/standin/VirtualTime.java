package org.masticspread.platform.standin;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * A clock that only advances explicitly, and an executor that runs due tasks in order of their
 * time.
 *
 * <p>Example: {@code VirtualTime time = VirtualTime.from(Instant.EPOCH); time.after(delay, task);
 * time.advance(delay);}. Thread-safe; tasks run on the thread that advances the clock.
 */
public final class VirtualTime implements InstantSource, DelayedExecutor, Pause {
  private final Object lock = new Object();
  private final PriorityQueue<ScheduledTask> queue =
      new PriorityQueue<>(
          Comparator.comparing(ScheduledTask::at).thenComparing(ScheduledTask::order));
  private Instant now;
  private long nextOrder;

  private VirtualTime(Instant now) {
    this.now = now;
  }

  /**
   * Returns a clock.
   *
   * @param start the initial time
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
      queue.add(new ScheduledTask(now.plus(delay), nextOrder++, task));
    }
  }

  @Override
  public void pause(Duration time) {
    advance(time);
  }

  /**
   * Advances the clock and runs each due task at its scheduled time.
   *
   * @param time the time to advance by
   */
  public void advance(Duration time) {
    Instant end = instant().plus(time);
    for (ScheduledTask scheduled = pollDue(end); scheduled != null; scheduled = pollDue(end)) {
      scheduled.task().run();
    }
  }

  /**
   * Returns the number of scheduled tasks.
   *
   * @return the number
   */
  public int waiting() {
    synchronized (lock) {
      return queue.size();
    }
  }

  private ScheduledTask pollDue(Instant end) {
    synchronized (lock) {
      ScheduledTask scheduled = queue.peek();
      if (scheduled == null || scheduled.at().isAfter(end)) {
        now = latest(now, end);
        return null;
      }
      now = latest(now, scheduled.at());
      return queue.remove();
    }
  }

  private static Instant latest(Instant a, Instant b) {
    return a.isAfter(b) ? a : b;
  }

  private record ScheduledTask(Instant at, long order, Runnable task) {}
}
