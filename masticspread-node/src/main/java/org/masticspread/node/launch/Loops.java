package org.masticspread.node.launch;

import com.google.common.flogger.FluentLogger;
import io.reactivex.rxjava3.core.Scheduler;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Periodic work. Each loop runs alone: a round that takes long delays its own next one and no other
 * loop.
 *
 * <p>Example: {@code loops.every("gossip", Duration.ofMillis(500), gossip::tell)}.
 */
final class Loops implements AutoCloseable {
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  private final Scheduler scheduler;
  private final List<Scheduler.Worker> workers = new ArrayList<>();

  Loops(Scheduler scheduler) {
    this.scheduler = scheduler;
  }

  void every(String name, Duration interval, Runnable round) {
    every(name, () -> interval, round);
  }

  /** Runs a loop whose interval may change from round to round. */
  synchronized void every(String name, Supplier<Duration> interval, Runnable round) {
    Scheduler.Worker worker = scheduler.createWorker();
    workers.add(worker);
    schedule(worker, name, interval, round);
  }

  private static void schedule(
      Scheduler.Worker worker, String name, Supplier<Duration> interval, Runnable round) {
    worker.schedule(
        () -> {
          run(name, round);
          schedule(worker, name, interval, round);
        },
        interval.get().toNanos(),
        TimeUnit.NANOSECONDS);
  }

  private static void run(String name, Runnable round) {
    try {
      round.run();
    } catch (RuntimeException e) {
      LOG.atSevere().withCause(e).log("loop: a round of %s failed", name);
    }
  }

  @Override
  public synchronized void close() {
    workers.forEach(Scheduler.Worker::dispose);
    workers.clear();
  }
}
