package org.masticspread.node.launch;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.schedulers.Schedulers;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Threads that run the work of a node, with its monotonic clock and the seed of its random choices.
 *
 * <p>Example: {@code Threads.real()} in a process; a test passes a scheduler on virtual time.
 *
 * @param loops the scheduler of periodic tasks, which may block
 * @param timers the scheduler of short timers
 * @param blocking the executor of calls that block on the store or on workers
 * @param nanos the monotonic clock, in nanoseconds
 * @param seed the seed of random choices
 * @param end the action that stops the threads
 */
public record Threads(
    Scheduler loops,
    Scheduler timers,
    Executor blocking,
    LongSupplier nanos,
    long seed,
    Runnable end)
    implements AutoCloseable {
  private static final int TIMER_THREADS = 4;
  private static final int BLOCKING_THREADS = 24;

  /**
   * Starts the threads of a process.
   *
   * @return the threads
   */
  public static Threads real() {
    ExecutorService timers = pool("timer", TIMER_THREADS);
    ExecutorService blocking = pool("blocking", BLOCKING_THREADS);
    return new Threads(
        Schedulers.from(blocking),
        Schedulers.from(timers),
        blocking,
        System::nanoTime,
        RandomSource.createLong(),
        () -> {
          timers.shutdownNow();
          blocking.shutdownNow();
        });
  }

  private static ExecutorService pool(String name, int threads) {
    AtomicInteger count = new AtomicInteger();
    ThreadFactory factory =
        runnable -> {
          Thread thread = new Thread(runnable, name + "-" + count.incrementAndGet());
          thread.setDaemon(true);
          return thread;
        };
    return Executors.newFixedThreadPool(threads, factory);
  }

  @Override
  public void close() {
    end.run();
  }
}
