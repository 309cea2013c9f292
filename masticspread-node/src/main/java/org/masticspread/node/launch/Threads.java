package org.masticspread.node.launch;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.schedulers.Schedulers;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.atomic.AtomicInteger;

/** The threads of a node. */
final class Threads implements AutoCloseable {
  private static final int CALL_THREADS = 4;
  private static final int BLOCKING_THREADS = 24;

  private final ExecutorService calls = pool("call", CALL_THREADS);
  private final ExecutorService blocking = pool("blocking", BLOCKING_THREADS);

  /** Runs calls that do not block. */
  ExecutorService calls() {
    return calls;
  }

  /** Runs calls that block on the store or on workers. */
  ExecutorService blocking() {
    return blocking;
  }

  /** Runs timers of work that may block. */
  Scheduler loops() {
    return Schedulers.from(blocking);
  }

  /** Runs short timers. */
  Scheduler timers() {
    return Schedulers.from(calls);
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
    calls.shutdownNow();
    blocking.shutdownNow();
  }
}
