package org.masticspread.state.testing;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import org.masticspread.model.platform.Condition;
import org.masticspread.model.platform.ConditionFailedException;
import org.masticspread.model.platform.Mutation;
import org.masticspread.model.platform.Row;
import org.masticspread.model.platform.StoreException;
import org.masticspread.model.platform.StoreException.Effect;
import org.masticspread.model.platform.TableService;
import org.masticspread.model.platform.Transaction;
import org.masticspread.model.work.Payload;
import org.masticspread.state.session.FenceRow;

/** In-memory table service with faults injected by key prefix. */
public final class FakeTable implements TableService {
  private static final Duration SLOW_CALL_TIME = Duration.ofSeconds(3);
  private static final int LATE_EFFECT_CALLS = 3;

  private record DelayedCommit(Transaction transaction, long dueAtCall) {}

  private final VirtualClock clock;
  private final Map<String, Deque<Fault>> commitFaults = new HashMap<>();
  private final Map<String, Deque<Fault>> readFaults = new HashMap<>();
  private final List<DelayedCommit> delayed = new ArrayList<>();
  private final List<String> fencedWrites = new ArrayList<>();
  private TreeMap<String, Row> rows = new TreeMap<>();
  private TreeMap<String, Row> previousRows = rows;
  private boolean down;
  private long calls;
  private long commits;
  private long scans;

  /** Creates an empty table whose slow calls advance the clock. */
  public FakeTable(VirtualClock clock) {
    this.clock = clock;
  }

  /** Injects faults into the next commits whose first key has the prefix, one fault per commit. */
  public synchronized void failCommits(String prefix, Fault... faults) {
    commitFaults.computeIfAbsent(prefix, p -> new ArrayDeque<>()).addAll(List.of(faults));
  }

  /** Injects faults into the next reads and scans of keys with the prefix, one fault per call. */
  public synchronized void failReads(String prefix, Fault... faults) {
    readFaults.computeIfAbsent(prefix, p -> new ArrayDeque<>()).addAll(List.of(faults));
  }

  /** Refuses every call while down. */
  public synchronized void setDown(boolean down) {
    this.down = down;
  }

  /** Removes all faults. */
  public synchronized void heal() {
    down = false;
    commitFaults.clear();
    readFaults.clear();
  }

  /**
   * Returns the journal rows that were written after the session of their incarnation had ended;
   * must be empty.
   */
  public synchronized List<String> fencedWrites() {
    return List.copyOf(fencedWrites);
  }

  /** Returns the number of attempted commits. */
  public synchronized long commits() {
    return commits;
  }

  /** Returns the number of attempted scans. */
  public synchronized long scans() {
    return scans;
  }

  /** Returns the keys with a prefix, ignoring faults. */
  public synchronized List<String> keys(String prefix) {
    return rows.keySet().stream().filter(key -> key.startsWith(prefix)).toList();
  }

  /** Changes the value of a row but not its version. */
  public synchronized void overwrite(String key, Payload value) {
    rows.put(key, new Row(key, rows.get(key).version(), value));
  }

  /** Removes a row without a transaction, to simulate data loss. */
  public synchronized void remove(String key) {
    rows.remove(key);
  }

  @Override
  public synchronized Optional<Row> read(String key) throws StoreException {
    return Optional.ofNullable(visible(key).get(key));
  }

  @Override
  public synchronized List<Row> scan(String prefix, String after, int limit) throws StoreException {
    scans++;
    return visible(prefix).tailMap(after, false).values().stream()
        .filter(row -> row.key().startsWith(prefix))
        .limit(limit)
        .toList();
  }

  private NavigableMap<String, Row> visible(String key) throws StoreException {
    applyDelayed();
    Fault fault = down ? Fault.REFUSED : next(readFaults, key);
    switch (fault) {
      case NONE, LATE_EFFECT -> {
        return rows;
      }
      case STALE -> {
        return previousRows;
      }
      case SLOW -> {
        clock.advance(SLOW_CALL_TIME);
        return rows;
      }
      default -> throw new StoreException(Effect.NONE, "read failed: " + fault, null);
    }
  }

  @Override
  public synchronized void commit(Transaction transaction)
      throws StoreException, ConditionFailedException {
    commits++;
    applyDelayed();
    String key = transaction.mutations().get(0).key();
    Fault fault = down ? Fault.REFUSED : next(commitFaults, key);
    switch (fault) {
      case REFUSED -> throw new StoreException(Effect.NONE, "refused", null);
      case ERROR_BEFORE -> throw new StoreException(Effect.UNKNOWN, "lost before the effect", null);
      case ERROR_AFTER -> {
        tryApply(transaction);
        throw new StoreException(Effect.UNKNOWN, "lost after the effect", null);
      }
      case LATE_EFFECT -> {
        delayed.add(new DelayedCommit(transaction, calls + LATE_EFFECT_CALLS));
        throw new StoreException(Effect.UNKNOWN, "late", null);
      }
      case SLOW -> {
        clock.advance(SLOW_CALL_TIME);
        apply(transaction);
      }
      default -> apply(transaction);
    }
  }

  private static Fault next(Map<String, Deque<Fault>> faults, String key) {
    for (Map.Entry<String, Deque<Fault>> entry : faults.entrySet()) {
      if (key.startsWith(entry.getKey()) && !entry.getValue().isEmpty()) {
        return entry.getValue().removeFirst();
      }
    }
    return Fault.NONE;
  }

  private void applyDelayed() {
    calls++;
    for (DelayedCommit due :
        delayed.stream().filter(commit -> commit.dueAtCall() <= calls).toList()) {
      delayed.remove(due);
      tryApply(due.transaction());
    }
  }

  private void tryApply(Transaction transaction) {
    try {
      apply(transaction);
    } catch (ConditionFailedException e) {
      // The caller gets no answer whether or not the commit takes effect.
      return;
    }
  }

  private void apply(Transaction transaction) throws ConditionFailedException {
    for (Condition condition : transaction.conditions()) {
      Row row = rows.get(condition.key());
      long version = row == null ? Condition.ABSENT : row.version();
      if (version != condition.version()) {
        throw new ConditionFailedException(condition.key());
      }
    }
    previousRows = new TreeMap<>(rows);
    for (Mutation mutation : transaction.mutations()) {
      recordFencedWrite(mutation);
      Row old = rows.get(mutation.key());
      if (mutation.value() == null) {
        rows.remove(mutation.key());
      } else {
        long version = old == null ? 1 : old.version() + 1;
        rows.put(mutation.key(), new Row(mutation.key(), version, mutation.value()));
      }
    }
  }

  private void recordFencedWrite(Mutation mutation) {
    String[] parts = mutation.key().split("/", 4);
    if (!parts[0].equals("journal") || mutation.value() == null) {
      return;
    }
    Row fence = rows.get("fence/" + parts[1] + "/" + parts[2]);
    if (fence == null || fence.version() != FenceRow.OPEN_VERSION) {
      fencedWrites.add(mutation.key());
    }
  }
}
