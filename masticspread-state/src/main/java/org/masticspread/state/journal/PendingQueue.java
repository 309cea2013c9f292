package org.masticspread.state.journal;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.masticspread.model.id.ShardId;

/**
 * The records that are part of no commit attempt, and the number of records per shard whose outcome
 * is open. Thread-safe; its lock is never held during a store call.
 */
final class PendingQueue {
  private final JournalSettings settings;
  private final JournalSink sink;
  private final Deque<PendingAppend> waiting = new ArrayDeque<>();
  private final Map<ShardId, Integer> unresolved = new HashMap<>();

  PendingQueue(JournalSettings settings, JournalSink sink) {
    this.settings = settings;
    this.sink = sink;
  }

  /**
   * Queues a record and returns true, or returns false if the queue is full. The ownership check
   * and the insertion are atomic.
   */
  synchronized boolean add(PendingAppend append) throws AppendException {
    JournalEntry entry = append.entry();
    if (!sink.accepts(entry.shard(), entry.epoch())) {
      throw new NotOwnerException(entry.shard(), entry.epoch());
    }
    if (waiting.size() >= settings.maxPendingRecords()) {
      return false;
    }
    waiting.addLast(append);
    unresolved.merge(entry.shard(), 1, Integer::sum);
    return true;
  }

  synchronized void drainTo(Collection<PendingAppend> group) {
    int bytes = group.stream().mapToInt(PendingAppend::sizeBytes).sum();
    while (!waiting.isEmpty()
        && group.size() < settings.maxBatchRecords()
        && bytes < settings.maxBatchBytes()) {
      PendingAppend next = waiting.removeFirst();
      bytes += next.sizeBytes();
      group.add(next);
    }
  }

  /** Returns records to the head of the queue in their order. */
  synchronized void putBack(List<PendingAppend> appends) {
    for (int i = appends.size() - 1; i >= 0; i--) {
      waiting.addFirst(appends.get(i));
    }
  }

  synchronized List<PendingAppend> removeExpired(Instant now) {
    List<PendingAppend> expired = new ArrayList<>();
    for (Iterator<PendingAppend> i = waiting.iterator(); i.hasNext(); ) {
      PendingAppend append = i.next();
      if (append.isExpired(now)) {
        expired.add(append);
        i.remove();
      }
    }
    return expired;
  }

  synchronized List<PendingAppend> removeAll() {
    List<PendingAppend> all = new ArrayList<>(waiting);
    waiting.clear();
    return all;
  }

  synchronized void markResolved(PendingAppend append) {
    unresolved.computeIfPresent(
        append.entry().shard(), (shard, count) -> count == 1 ? null : count - 1);
  }

  synchronized int unresolved(ShardId shard) {
    return unresolved.getOrDefault(shard, 0);
  }

  synchronized int unresolved() {
    return unresolved.values().stream().mapToInt(Integer::intValue).sum();
  }
}
