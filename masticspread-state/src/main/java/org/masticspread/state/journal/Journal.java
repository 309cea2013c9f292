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
 * The journal of this VM incarnation. Each flush commits one row with all that waits, in one
 * transaction that depends on the incarnation's fence row and on the row being absent.
 *
 * <p>A row whose answer was lost is read back before anything else is written. While it is not
 * there it may still arrive, so the next row is written under the same key: only one of them can
 * win. A record past its hold-until instant is withdrawn as certainly not written as soon as no
 * commit that holds it can win any more.
 *
 * <p>Example: {@code journal.append(shard, epoch, record, answerBy)} and, at the flush interval,
 * {@code journal.flush()}. Thread-safe; only {@link #flush}, {@link #atBoundary} and {@link #trim}
 * block on the store or on each other.
 */
public final class Journal {
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
  private static final int TRIM_ROWS = 100;
  private static final int RECORD_OVERHEAD_BYTES = 64;

  private final TableService table;
  private final VmIncarnation self;
  private final JournalSink sink;
  private final InstantSource clock;
  private final LongSupplier nanos;
  private final PendingQueue queue;

  private final ReentrantLock flushing = new ReentrantLock();
  private final RowInDoubt inDoubt = new RowInDoubt();
  private final List<Runnable> outcomes = new ArrayList<>();
  private final Backoff backoff;
  private long notBefore;
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
   * @param sink decides which records are taken and receives durable ones
   * @param clock the clock of hold-until instants
   * @param nanos monotonic nanoseconds, for the backoff
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
    this.notBefore = nanos.getAsLong();
  }

  /**
   * Queues a record for the next flush.
   *
   * @param shard the shard
   * @param epoch the epoch under which this VM holds it
   * @param record the record
   * @param holdUntil until when it may wait for the store
   * @return completes when the record is durable and applied; fails with an {@link AppendException}
   *     that tells whether the record is certainly not written
   */
  public CompletionStage<Void> append(
      ShardId shard, long epoch, JournalRecord record, Instant holdUntil) {
    JournalEntry entry = new JournalEntry(shard, epoch, record);
    int size = Envelope.seal(RecordKind.JOURNAL, entry).sizeBytes() + RECORD_OVERHEAD_BYTES;
    PendingAppend append = new PendingAppend(entry, holdUntil, size);
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

  /** Withdraws the records whose hold-until instant has passed and that no commit holds. */
  public void withdrawExpired() {
    for (PendingAppend append : queue.removeExpired(clock.instant())) {
      queue.settled(append);
      append.result().completeExceptionally(new WithdrawnException());
    }
  }

  /**
   * Commits one group, after settling a lost answer. Does nothing while the backoff of an earlier
   * failure runs or another thread flushes. Costs one write, and one read after a lost answer. The
   * stages of settled records complete on this thread after the locks are free.
   *
   * @return whether every record appended so far is settled
   */
  public boolean flush() {
    withdrawExpired();
    if (!flushing.tryLock()) {
      return false;
    }
    try {
      if (nanos.getAsLong() - notBefore >= 0) {
        step();
        backoff.reset();
      }
    } catch (MasticspreadException e) {
      notBefore = nanos.getAsLong() + backoff.nextNanos();
      LOG.atWarning().log("journal: flush failed: %s", e.getMessage());
    } finally {
      List<Runnable> due = List.copyOf(outcomes);
      outcomes.clear();
      flushing.unlock();
      due.forEach(Runnable::run);
    }
    return queue.unsettled() == 0;
  }

  private void step() throws StoreException, RecordFormatException {
    if (fenced) {
      settleFenced();
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

  /** Returns the records of a row in doubt, or what waits when none is. */
  private List<PendingAppend> nextGroup() {
    if (!inDoubt.isEmpty()) {
      return inDoubt.nextGroup(clock.instant());
    }
    List<PendingAppend> group = new ArrayList<>();
    queue.takeInto(group);
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
    won(attempt);
  }

  /** Returns records to the queue, unless an earlier attempt still holds them. */
  private void putBack(List<PendingAppend> group) {
    if (inDoubt.isEmpty()) {
      queue.putBack(group);
    }
  }

  private void conditionFailed() throws StoreException, RecordFormatException {
    if (FenceRow.read(table, self) != SessionState.OPEN) {
      fenced = true;
      LOG.atSevere().log("journal: session of %s has ended", self);
      settleFenced();
      return;
    }
    readBack();
  }

  /** Reads the row in doubt; settles it if one of the attempts is there. */
  private void readBack() throws StoreException, RecordFormatException {
    String key = StateKeys.journal(self, nextSeq.get());
    Optional<Row> row = table.read(key);
    if (row.isPresent()) {
      won(inDoubt.winner(row.get()));
    }
  }

  /** The attempt holds the row for good; the others can't win any more. */
  private void won(Attempt winner) {
    Set<PendingAppend> others = inDoubt.appends();
    winner.appends().forEach(others::remove);
    inDoubt.clear();
    nextSeq.incrementAndGet();
    queue.putBack(List.copyOf(others));
    winner.appends().forEach(this::complete);
  }

  /**
   * Settles all records after the fence fell. No commit can take effect any more; a row that is
   * absent was never written, unless the journal is already being collected.
   */
  private void settleFenced() throws StoreException, RecordFormatException {
    if (!inDoubt.isEmpty()) {
      readBack();
    }
    if (!inDoubt.isEmpty()) {
      boolean certain = FenceRow.read(table, self) != SessionState.COLLECTED;
      Set<PendingAppend> lost = inDoubt.appends();
      inDoubt.clear();
      lost.forEach(append -> failLater(append, new FencedException(self, certain)));
    }
    queue.removeAll().forEach(append -> failLater(append, new FencedException(self, true)));
  }

  private void complete(PendingAppend append) {
    JournalEntry entry = append.entry();
    sink.onDurable(entry.shard(), entry.epoch(), entry.record());
    queue.settled(append);
    outcomes.add(() -> append.result().complete(null));
  }

  private void failLater(PendingAppend append, AppendException error) {
    queue.settled(append);
    outcomes.add(() -> append.result().completeExceptionally(error));
  }

  /**
   * Runs an action between two flushes: everything before the position is durable and applied,
   * nothing after it is.
   *
   * @param action gets the position of the next row; must not call the store
   * @param <T> the type of its result
   * @return its result
   */
  public <T> T atBoundary(LongFunction<T> action) {
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
   * Returns the count of records that wait or are in doubt for a shard.
   *
   * @param shard the shard
   * @return the count
   */
  public int pending(ShardId shard) {
    return queue.unsettled(shard);
  }

  /**
   * Returns the count of records that wait or are in doubt.
   *
   * @return the count
   */
  public int pending() {
    return queue.unsettled();
  }

  /**
   * Tells whether a write found that the session has ended.
   *
   * @return whether nothing can be written any more
   */
  public boolean isFenced() {
    return fenced;
  }

  /**
   * Returns the rows written.
   *
   * @return the count
   */
  public long rowsWritten() {
    return rowsWritten.sum();
  }

  /**
   * Returns the bytes of the rows written.
   *
   * @return the size in bytes
   */
  public long bytesWritten() {
    return bytesWritten.sum();
  }

  /**
   * Deletes rows that no shard needs any more, at most 100 in one transaction.
   *
   * @param below the lowest position that a shard row refers to
   * @return whether none is left to delete
   * @throws StoreException if the store does not answer; call again later
   */
  public boolean trim(long below) throws StoreException {
    flushing.lock();
    try {
      long end = Math.min(Math.min(below, nextSeq.get()), firstSeq + TRIM_ROWS);
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
