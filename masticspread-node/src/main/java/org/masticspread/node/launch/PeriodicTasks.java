package org.masticspread.node.launch;

import com.google.common.flogger.FluentLogger;
import io.reactivex.rxjava3.core.Scheduler;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Periodic tasks of a node. Tasks are independent: a run that takes long delays the next run of the
 * same task only.
 *
 * <p>Example: {@code tasks.every("gossip", Duration.ofMillis(500), gossip::send)}.
 */
final class PeriodicTasks implements AutoCloseable {
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  private final Scheduler scheduler;
  private final List<Scheduler.Worker> workers = new ArrayList<>();

  PeriodicTasks(Scheduler scheduler) {
    this.scheduler = scheduler;
  }

  void every(String name, Duration interval, Runnable task) {
    every(name, () -> interval, task);
  }

  /** Runs a task whose interval may change between runs. */
  synchronized void every(String name, Supplier<Duration> interval, Runnable task) {
    Scheduler.Worker worker = scheduler.createWorker();
    workers.add(worker);
    schedule(worker, name, interval, task);
  }

  private static void schedule(
      Scheduler.Worker worker, String name, Supplier<Duration> interval, Runnable task) {
    worker.schedule(
        () -> {
          run(name, task);
          schedule(worker, name, interval, task);
        },
        interval.get().toNanos(),
        TimeUnit.NANOSECONDS);
  }

  private static void run(String name, Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      LOG.atSevere().withCause(e).log("node: periodic task %s failed", name);
    }
  }

  @Override
  public synchronized void close() {
    workers.forEach(Scheduler.Worker::dispose);
    workers.clear();
  }
}
