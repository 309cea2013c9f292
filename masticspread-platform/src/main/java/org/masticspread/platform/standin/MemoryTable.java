package org.masticspread.platform.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.atomic.LongAdder;
import org.masticspread.model.platform.Condition;
import org.masticspread.model.platform.ConditionFailedException;
import org.masticspread.model.platform.Mutation;
import org.masticspread.model.platform.Row;
import org.masticspread.model.platform.StoreException;
import org.masticspread.model.platform.TableService;
import org.masticspread.model.platform.Transaction;
import org.masticspread.model.work.Payload;

/**
 * An in-memory table service.
 *
 * <p>Example: {@code new MemoryTable(Faults.none())}. In the fault script, calls are named {@code
 * table.read/KEY}, {@code table.scan/PREFIX} and {@code table.commit/KEY}, with the key of the
 * first mutation. Thread-safe.
 */
public final class MemoryTable implements TableService {
  private final TreeMap<String, Row> rows = new TreeMap<>();
  private final FaultInjector<StoreException> injector;
  private final LongAdder commits = new LongAdder();
  private final LongAdder reads = new LongAdder();
  private final LongAdder bytes = new LongAdder();

  /**
   * Creates an empty table.
   *
   * @param faults the script of faults
   */
  public MemoryTable(Faults faults) {
    this.injector = StoreFailures.injector(faults);
  }

  @Override
  public Optional<Row> read(String key) throws StoreException {
    reads.increment();
    return injector.run("table.read/" + key, () -> find(key));
  }

  @Override
  public List<Row> scan(String prefix, String after, int limit) throws StoreException {
    if (limit < 1) {
      throw new IllegalArgumentException("limit: " + limit + " is less than 1");
    }
    reads.increment();
    return injector.run("table.scan/" + prefix, () -> select(prefix, after, limit));
  }

  @Override
  public void commit(Transaction transaction) throws StoreException, ConditionFailedException {
    commits.increment();
    String firstKey = transaction.mutations().isEmpty() ? "" : transaction.mutations().get(0).key();
    FaultInjector.Call<Void, ConditionFailedException> call = () -> apply(transaction);
    injector.run("table.commit/" + firstKey, call);
  }

  /**
   * Returns the number of attempted transactions.
   *
   * @return the number
   */
  public long commits() {
    return commits.sum();
  }

  /**
   * Returns the number of attempted reads and scans.
   *
   * @return the number
   */
  public long reads() {
    return reads.sum();
  }

  /**
   * Returns the total size of the written values.
   *
   * @return the size in bytes
   */
  public long bytesWritten() {
    return bytes.sum();
  }

  private synchronized Optional<Row> find(String key) {
    return Optional.ofNullable(rows.get(key));
  }

  private synchronized List<Row> select(String prefix, String after, int limit) {
    String from = after.compareTo(prefix) > 0 ? after : prefix;
    List<Row> found = new ArrayList<>();
    for (Row row : rows.tailMap(from, true).values()) {
      if (!row.key().startsWith(prefix) || found.size() == limit) {
        break;
      }
      if (row.key().compareTo(after) > 0) {
        found.add(row);
      }
    }
    return found;
  }

  private synchronized Void apply(Transaction transaction) throws ConditionFailedException {
    for (Condition condition : transaction.conditions()) {
      if (versionOf(condition.key()) != condition.version()) {
        throw new ConditionFailedException(condition.key());
      }
    }
    transaction.mutations().forEach(this::write);
    return null;
  }

  private long versionOf(String key) {
    Row row = rows.get(key);
    return row == null ? Condition.ABSENT : row.version();
  }

  private void write(Mutation mutation) {
    Payload value = mutation.value();
    if (value == null) {
      rows.remove(mutation.key());
      return;
    }
    bytes.add(value.sizeBytes());
    rows.put(mutation.key(), new Row(mutation.key(), versionOf(mutation.key()) + 1, value));
  }
}
