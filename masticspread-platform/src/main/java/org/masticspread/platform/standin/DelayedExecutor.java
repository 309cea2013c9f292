package org.masticspread.platform.standin;

import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

/** Executor that runs tasks after a delay. */
@FunctionalInterface
public interface DelayedExecutor {
  /**
   * Runs a task after a delay.
   *
   * @param delay the delay
   * @param task the task; must not block
   */
  void after(Duration delay, Runnable task);

  /**
   * Runs a task after a delay unless it is cancelled. Cancelling releases the reference to the
   * task.
   *
   * @param delay the delay
   * @param task the task; must not block
   * @return an action that cancels the task
   */
  default Runnable cancellable(Duration delay, Runnable task) {
    AtomicReference<Runnable> pending = new AtomicReference<>(task);
    after(delay, () -> pending.getAndSet(() -> {}).run());
    return () -> pending.set(() -> {});
  }

  /**
   * Returns an executor that runs tasks in real time.
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
