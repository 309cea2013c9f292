package org.masticspread.state.guard;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.LongSupplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.masticspread.model.platform.ConditionFailedException;
import org.masticspread.model.platform.ObjectStore;
import org.masticspread.model.platform.Row;
import org.masticspread.model.platform.StoreException;
import org.masticspread.model.platform.TableService;
import org.masticspread.model.platform.Transaction;
import org.masticspread.model.work.Payload;

/**
 * Protects one store with a circuit breaker, a concurrency limit and a retry budget for the calls
 * of this VM, and counts the calls.
 *
 * <p>After a number of consecutive failures, calls are refused at once, certainly without effect,
 * for a jittered backoff that doubles. Then one call is let through, and each success doubles the
 * concurrency limit, so that a recovering store is not hit by a thundering herd. A slow call halves
 * the limit. A failed read is retried once while the retry budget lasts. A commit is never retried,
 * because only its caller can resolve a lost answer.
 *
 * <p>Example: {@code TableService guarded = guard.table(adapter)}. Thread-safe; no lock is held
 * during a call.
 */
public final class StoreGuard {
  /**
   * A call to a store.
   *
   * @param <T> the type of its result
   */
  private interface Call<T> {
    T run() throws StoreException, ConditionFailedException;
  }

  /**
   * A read call to a store.
   *
   * @param <T> the type of its result
   */
  private interface Read<T> {
    T run() throws StoreException;
  }

  private final CallLimiter limiter;
  private final LongSupplier nanos;
  private final LongAdder reads = new LongAdder();
  private final LongAdder writes = new LongAdder();
  private final LongAdder rowsWritten = new LongAdder();
  private final LongAdder failures = new LongAdder();
  private final LongAdder refused = new LongAdder();
  private final LongAdder retries = new LongAdder();
  private final LongAdder slow = new LongAdder();
  private final LongAdder storeNanos = new LongAdder();

  /**
   * Creates a guard for one store.
   *
   * @param settings the limits
   * @param nanos the monotonic clock, in nanoseconds
   * @param random the source of the jitter
   */
  public StoreGuard(GuardSettings settings, LongSupplier nanos, UniformRandomProvider random) {
    this.limiter = new CallLimiter(settings, random);
    this.nanos = nanos;
  }

  /**
   * Returns a table service whose calls go through this guard.
   *
   * @param table the table service
   * @return the guarded table service
   */
  public TableService table(TableService table) {
    return new GuardedTable(table);
  }

  /**
   * Returns an object store whose calls go through this guard.
   *
   * @param objects the object store
   * @return the guarded object store
   */
  public ObjectStore objects(ObjectStore objects) {
    return new GuardedObjects(objects);
  }

  /**
   * Returns whether the circuit breaker is closed.
   *
   * @return false while calls are refused after consecutive failures
   */
  public boolean isReached() {
    return limiter.isClosed();
  }

  /**
   * Returns the statistics since the guard was created.
   *
   * @return the statistics
   */
  public GuardStats stats() {
    return new GuardStats(
        reads.sum(),
        writes.sum(),
        rowsWritten.sum(),
        failures.sum(),
        refused.sum(),
        retries.sum(),
        slow.sum(),
        storeNanos.sum());
  }

  private <T> T read(Read<T> call) throws StoreException {
    reads.increment();
    try {
      return readOnce(call);
    } catch (StoreException e) {
      if (!limiter.tryAcquireRetry()) {
        throw e;
      }
      retries.increment();
      return readOnce(call);
    }
  }

  private <T> T readOnce(Read<T> call) throws StoreException {
    try {
      return callLimited(call::run);
    } catch (ConditionFailedException e) {
      throw new IllegalStateException("a read has no conditions", e);
    }
  }

  private <T> T write(int rows, Call<T> call) throws StoreException, ConditionFailedException {
    writes.increment();
    rowsWritten.add(rows);
    return callLimited(call);
  }

  private <T> T callLimited(Call<T> call) throws StoreException, ConditionFailedException {
    long start = nanos.getAsLong();
    if (!limiter.tryAcquire(start)) {
      refused.increment();
      throw new StoreException(StoreException.Effect.NONE, "call refused by the store guard", null);
    }
    boolean answered = false;
    try {
      T result = call.run();
      answered = true;
      return result;
    } catch (ConditionFailedException e) {
      answered = true;
      throw e;
    } finally {
      long end = nanos.getAsLong();
      storeNanos.add(end - start);
      record(answered, limiter.release(answered, end - start, end));
    }
  }

  private void record(boolean answered, boolean wasSlow) {
    if (!answered) {
      failures.increment();
    }
    if (wasSlow) {
      slow.increment();
    }
  }

  /** A table service whose calls go through the guard. */
  private final class GuardedTable implements TableService {
    private final TableService table;

    GuardedTable(TableService table) {
      this.table = table;
    }

    @Override
    public Optional<Row> read(String key) throws StoreException {
      return StoreGuard.this.read(() -> table.read(key));
    }

    @Override
    public List<Row> scan(String prefix, String after, int limit) throws StoreException {
      return StoreGuard.this.read(() -> table.scan(prefix, after, limit));
    }

    @Override
    public void commit(Transaction transaction) throws StoreException, ConditionFailedException {
      write(
          transaction.mutations().size(),
          () -> {
            table.commit(transaction);
            return null;
          });
    }
  }

  /** An object store whose calls go through the guard. */
  private final class GuardedObjects implements ObjectStore {
    private final ObjectStore objects;

    GuardedObjects(ObjectStore objects) {
      this.objects = objects;
    }

    @Override
    public void put(String name, Payload content) throws StoreException {
      writeObject(() -> objects.put(name, content));
    }

    @Override
    public Optional<Payload> get(String name) throws StoreException {
      return StoreGuard.this.read(() -> objects.get(name));
    }

    @Override
    public List<String> list(String prefix) throws StoreException {
      return StoreGuard.this.read(() -> objects.list(prefix));
    }

    @Override
    public void delete(String name) throws StoreException {
      writeObject(() -> objects.delete(name));
    }

    private void writeObject(ObjectWrite write) throws StoreException {
      try {
        StoreGuard.this.write(
            1,
            () -> {
              write.run();
              return null;
            });
      } catch (ConditionFailedException e) {
        throw new IllegalStateException("an object write has no conditions", e);
      }
    }
  }

  /** A write to the object store. */
  private interface ObjectWrite {
    void run() throws StoreException;
  }
}
