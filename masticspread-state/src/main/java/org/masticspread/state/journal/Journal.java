package org.masticspread.state.journal;

import com.google.common.flogger.FluentLogger;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.LongFunction;
import java.util.function.LongSupplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.masticspread.model.id.ShardId;
import org.masticspread.model.id.VmIncarnation;
import org.masticspread.model.platform.Condition;
import org.masticspread.model.platform.ConditionFailedException;
import org.masticspread.model.platform.Mutation;
import org.masticspread.model.platform.Row;
import org.masticspread.model.platform.StoreException;
import org.masticspread.model.platform.TableService;
import org.masticspread.model.platform.Transaction;
import org.masticspread.model.result.MasticspreadException;
import org.masticspread.model.work.Payload;
import org.masticspread.state.format.Envelope;
import org.masticspread.state.format.RecordFormatException;
import org.masticspread.state.format.RecordKind;
import org.masticspread.state.format.StateKeys;
import org.masticspread.state.internal.Backoff;
import org.masticspread.state.journal.RowInDoubt.Attempt;
import org.masticspread.state.session.FenceRow;
import org.masticspread.state.session.SessionState;
import org.masticspread.state.shard.JournalRecord;

/**
 * The journal of this VM incarnation. Each flush group-commits the queued records as one row, in a
 * transaction with conditions on the fence row of the incarnation and on the absence of the row.
 *
 * <p>After a commit whose answer was lost, the row is read back before anything else is written.
 * While the row is absent, the commit may still take effect, so the next attempt uses the same key:
 * only one of the attempts can succeed. A record past its write deadline is withdrawn as certainly
 * not written as soon as no commit attempt that contains it can succeed any more.
 *
 * <p>Example: {@code journal.append(shard, epoch, record, writeDeadline)} and, at the flush
 * interval, {@code journal.flush()}. Thread-safe; only {@link #flush}, {@link #atFlushBoundary} and
 * {@link #trim} block on the store or on each other.
 */
public final class Journal {
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
  private static final int MAX_TRIM_ROWS = 100;
  private static final int RECORD_OVERHEAD_BYTES = 64;

  private final TableService table;
  private final VmIncarnation self;
  private final JournalSink sink;
  private final InstantSource clock;
  private final LongSupplier nanos;
  private final PendingQueue queue;

  private final ReentrantLock flushing = new ReentrantLock();
  private final RowInDoubt inDoubt = new RowInDoubt();
  private final List<Runnable> completions = new ArrayList<>();
  private final Backoff backoff;
  private long nextAttemptNanos;
  private long firstSeq = 1;
  private final AtomicLong nextSeq = new AtomicLong(1);
  private volatile boolean fenced;
  private final LongAdder rowsWritten = new LongAdder();
  private final LongAdder bytesWritten = new LongAdder();

  /**
   * Creates the journal of an incarnation that has just opened its session.
   *
   * @param table the table service
   * @param self the incarnation
   * @param settings the limits
   * @param sink decides which records are accepted and receives the durable ones
   * @param clock the clock for write deadlines
   * @param nanos the monotonic clock for the backoff, in nanoseconds
   * @param random the source of the jitter
   */
  public Journal(
      TableService table,
      VmIncarnation self,
      JournalSettings settings,
      JournalSink sink,
      InstantSource clock,
      LongSupplier nanos,
      UniformRandomProvider random) {
    this.table = table;
    this.self = self;
    this.sink = sink;
    this.clock = clock;
    this.nanos = nanos;
    this.queue = new PendingQueue(settings, sink);
    this.backoff = new Backoff(settings.backoffBase(), settings.backoffMax(), random);
    this.nextAttemptNanos = nanos.getAsLong();
  }

  /**
   * Queues a record for the next flush.
   *
   * @param shard the shard
   * @param epoch the epoch under which this VM holds the shard
   * @param record the record
   * @param writeDeadline when to withdraw the record if it has not been written
   * @return a stage that completes when the record is durable and applied, or fails with an {@link
   *     AppendException} that says whether the record was certainly not written
   */
  public CompletionStage<Void> append(
      ShardId shard, long epoch, JournalRecord record, Instant writeDeadline) {
    JournalEntry entry = new JournalEntry(shard, epoch, record);
    int size = Envelope.seal(RecordKind.JOURNAL, entry).sizeBytes() + RECORD_OVERHEAD_BYTES;
    PendingAppend append = new PendingAppend(entry, writeDeadline, size);
    try {
      if (fenced) {
        throw new FencedException(self, true);
      }
      if (append.isExpired(clock.instant()) || !queue.add(append)) {
        throw new WithdrawnException();
      }
    } catch (AppendException e) {
      return CompletableFuture.failedStage(e);
    }
    return append.result();
  }

  /**
   * Withdraws the records whose write deadline has passed and that are part of no commit attempt.
   */
  public void withdrawExpired() {
    for (PendingAppend append : queue.removeExpired(clock.instant())) {
      queue.markResolved(append);
      append.result().completeExceptionally(new WithdrawnException());
    }
  }

  /**
   * Commits one group of records, after resolving a lost answer. Does nothing during the backoff
   * after a failure or while another thread flushes. Costs one write, and one read after a lost
   * answer. The stages of resolved records complete on this thread after all locks have been
   * released.
   *
   * @return whether the outcome of every record appended so far is known
   */
  public boolean flush() {
    withdrawExpired();
    if (!flushing.tryLock()) {
      return false;
    }
    try {
      if (nanos.getAsLong() - nextAttemptNanos >= 0) {
        flushOnce();
        backoff.reset();
      }
    } catch (MasticspreadException e) {
      nextAttemptNanos = nanos.getAsLong() + backoff.nextNanos();
      LOG.atWarning().log("journal: flush failed: %s", e.getMessage());
    } finally {
      List<Runnable> due = List.copyOf(completions);
      completions.clear();
      flushing.unlock();
      due.forEach(Runnable::run);
    }
    return queue.unresolved() == 0;
  }

  private void flushOnce() throws StoreException, RecordFormatException {
    if (fenced) {
      resolveFenced();
      return;
    }
    if (!inDoubt.isEmpty()) {
      readBack();
    }
    List<PendingAppend> group = nextGroup();
    if (!group.isEmpty() || !inDoubt.isEmpty()) {
      commit(group);
    }
  }

  /**
   * Returns the records for the next attempt at a row in doubt, or the queued records if no row is
   * in doubt.
   */
  private List<PendingAppend> nextGroup() {
    if (!inDoubt.isEmpty()) {
      return inDoubt.nextGroup(clock.instant());
    }
    List<PendingAppend> group = new ArrayList<>();
    queue.drainTo(group);
    return group;
  }

  private void commit(List<PendingAppend> group) throws StoreException, RecordFormatException {
    List<JournalEntry> entries = group.stream().map(PendingAppend::entry).toList();
    long seq = nextSeq.get();
    Payload content = Envelope.seal(RecordKind.JOURNAL, new JournalBatch(self, seq, entries));
    Attempt attempt = new Attempt(content, group);
    String key = StateKeys.journal(self, seq);
    Transaction transaction =
        new Transaction(
            List.of(FenceRow.open(self), new Condition(key, Condition.ABSENT)),
            List.of(Mutation.put(key, content)));
    try {
      table.commit(transaction);
    } catch (ConditionFailedException e) {
      putBack(group);
      conditionFailed();
      return;
    } catch (StoreException e) {
      if (e.effect() == StoreException.Effect.NONE) {
        putBack(group);
      } else {
        inDoubt.add(attempt);
      }
      throw e;
    }
    rowsWritten.increment();
    bytesWritten.add(content.sizeBytes());
    committed(attempt);
  }

  /** Returns records to the queue, unless an earlier attempt still contains them. */
  private void putBack(List<PendingAppend> group) {
    if (inDoubt.isEmpty()) {
      queue.putBack(group);
    }
  }

  private void conditionFailed() throws StoreException, RecordFormatException {
    if (FenceRow.read(table, self) != SessionState.OPEN) {
      fenced = true;
      LOG.atSevere().log("journal: session of %s has ended", self);
      resolveFenced();
      return;
    }
    readBack();
  }

  /** Reads the row in doubt and resolves it if one of the attempts was written. */
  private void readBack() throws StoreException, RecordFormatException {
    String key = StateKeys.journal(self, nextSeq.get());
    Optional<Row> row = table.read(key);
    if (row.isPresent()) {
      committed(inDoubt.winner(row.get()));
    }
  }

  /**
   * Completes the records of the attempt that was written and requeues those of the other attempts,
   * which can no longer succeed.
   */
  private void committed(Attempt winner) {
    Set<PendingAppend> others = inDoubt.appends();
    winner.appends().forEach(others::remove);
    inDoubt.clear();
    nextSeq.incrementAndGet();
    queue.putBack(List.copyOf(others));
    winner.appends().forEach(this::complete);
  }

  /**
   * Resolves all records after the incarnation was fenced. No commit can take effect any more, so
   * an absent row was never written, unless the journal is already being collected.
   */
  private void resolveFenced() throws StoreException, RecordFormatException {
    if (!inDoubt.isEmpty()) {
      readBack();
    }
    if (!inDoubt.isEmpty()) {
      boolean notWritten = FenceRow.read(table, self) != SessionState.COLLECTED;
      Set<PendingAppend> lost = inDoubt.appends();
      inDoubt.clear();
      lost.forEach(append -> failLater(append, new FencedException(self, notWritten)));
    }
    queue.removeAll().forEach(append -> failLater(append, new FencedException(self, true)));
  }

  private void complete(PendingAppend append) {
    JournalEntry entry = append.entry();
    sink.onDurable(entry.shard(), entry.epoch(), entry.record());
    queue.markResolved(append);
    completions.add(() -> append.result().complete(null));
  }

  private void failLater(PendingAppend append, AppendException error) {
    queue.markResolved(append);
    completions.add(() -> append.result().completeExceptionally(error));
  }

  /**
   * Runs an action between two flushes, when everything before the given position is durable and
   * applied and nothing after it is.
   *
   * @param action receives the position of the next row; must not call the store
   * @param <T> the type of the result
   * @return the result of the action
   */
  public <T> T atFlushBoundary(LongFunction<T> action) {
    flushing.lock();
    try {
      return action.apply(nextSeq.get());
    } finally {
      flushing.unlock();
    }
  }

  /**
   * Returns the position of the next row.
   *
   * @return the position, from 1
   */
  public long nextSeq() {
    return nextSeq.get();
  }

  /**
   * Returns the number of records of a shard that are queued or in doubt.
   *
   * @param shard the shard
   * @return the count
   */
  public int pending(ShardId shard) {
    return queue.unresolved(shard);
  }

  /**
   * Returns the number of records that are queued or in doubt.
   *
   * @return the count
   */
  public int pending() {
    return queue.unresolved();
  }

  /**
   * Returns whether a write has found that the session has ended.
   *
   * @return true if nothing can be written any more
   */
  public boolean isFenced() {
    return fenced;
  }

  /**
   * Returns the number of rows written.
   *
   * @return the count
   */
  public long rowsWritten() {
    return rowsWritten.sum();
  }

  /**
   * Returns the total size of the rows written.
   *
   * @return the size in bytes
   */
  public long bytesWritten() {
    return bytesWritten.sum();
  }

  /**
   * Deletes rows that no shard needs any more, at most 100 per call in one transaction.
   *
   * @param below the lowest position that a shard row refers to; rows before it are deleted
   * @return whether no row is left to delete
   * @throws StoreException if the store does not answer; call again later
   */
  public boolean trim(long below) throws StoreException {
    flushing.lock();
    try {
      long end = Math.min(Math.min(below, nextSeq.get()), firstSeq + MAX_TRIM_ROWS);
      if (firstSeq >= end) {
        return true;
      }
      List<Mutation> deletes = new ArrayList<>();
      for (long seq = firstSeq; seq < end; seq++) {
        deletes.add(Mutation.delete(StateKeys.journal(self, seq)));
      }
      table.commit(new Transaction(List.of(FenceRow.open(self)), deletes));
      firstSeq = end;
      return firstSeq >= below;
    } catch (ConditionFailedException e) {
      return true;
    } finally {
      flushing.unlock();
    }
  }
}
