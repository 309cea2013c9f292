package org.masticspread.platform.standin;

import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

/** Runs a task after a delay. */
@FunctionalInterface
public interface DelayedExecutor {
  /**
   * Runs a task later.
   *
   * @param delay how long to wait
   * @param task the task; must not block
   */
  void after(Duration delay, Runnable task);

  /**
   * Runs a task later unless it is cancelled; a cancelled task holds no memory of its own.
   *
   * @param delay how long to wait
   * @param task the task; must not block
   * @return cancels the task
   */
  default Runnable cancellable(Duration delay, Runnable task) {
    AtomicReference<Runnable> due = new AtomicReference<>(task);
    after(delay, () -> due.getAndSet(() -> {}).run());
    return () -> due.set(() -> {});
  }

  /**
   * Returns an executor in real time.
   *
   * @param scheduler runs the tasks; the caller shuts it down
   * @return the executor
   */
  static DelayedExecutor of(ScheduledExecutorService scheduler) {
    return (delay, task) -> {
      var ignored = scheduler.schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS);
    };
  }
}
