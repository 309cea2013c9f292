package org.masticspread.cell.journal;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.masticspread.cell.log.EventLog;
import org.masticspread.cell.port.CommitResult;
import org.masticspread.cell.port.TableCommit;
import org.masticspread.cell.port.TableCommit.Expected;
import org.masticspread.cell.port.TableCommit.Put;
import org.masticspread.cell.port.TableCommit.RowName;
import org.masticspread.cell.port.TablePort;
import org.masticspread.cell.port.TableRow;
import org.masticspread.cell.port.Timers;
import org.masticspread.model.result.InvalidFieldException;

/**
 * Writes the rows of a cell in commits, one after another. Each commit is conditional on the leader
 * row and on the previous commit. So a commit without an answer can be sent again and takes effect
 * at most once, and no commit takes effect after a later one or after a change of the leader.
 *
 * <p>A row that is put several times before it is written is written once, with its newest content.
 *
 * <pre>{@code
 * journal.put(new RowName(Rows.JOB_TABLE, id), () -> Rows.encode(record));
 * journal.whenDurable(() -> answer(ACCEPTED));
 * }</pre>
 */
public final class Journal {
  /** How long rows of several events are collected for one commit; adds to callers' latency. */
  private static final Duration LINGER = Duration.ofMillis(6);

  /** Shorter than an isolated VM watches the store for commits before it claims the cell. */
  private static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(1000);

  /** The delay between attempts while the store refuses commits. */
  private static final Duration REFUSED_RETRY_DELAY = Duration.ofMillis(80);

  /** The store allows 100 entries; the rest is for conditions, the head row and a group's rows. */
  private static final int MAX_ROWS = 90;

  /** The store allows 1 MB per transaction, as text that is 4/3 of the size of the bytes. */
  private static final int MAX_BYTES = 500_000;

  /** Receives the outcomes of commits. */
  public interface Listener {
    /** Called when another VM leads the cell; the journal writes nothing more. */
    void deposed();

    /**
     * Called with the outcome of each attempt to commit.
     *
     * @param reached whether the store carried the commit out
     */
    void storeReached(boolean reached);
  }

  private final TablePort table;
  private final Timers timers;
  private final InstantSource clock;
  private final EventLog log;
  private final Listener listener;
  private final Term term;

  private final Map<RowName, Entry> dirty = new LinkedHashMap<>();
  private final Deque<Waiter> waiters = new ArrayDeque<>();

  /** Actions that wait for a commit that is sent later than they were added. */
  private final List<Runnable> confirmations = new ArrayList<>();

  private long headVersion;
  private long commitCount;
  private long lastSequence;
  private long durableSequence;
  private Batch batch;
  private boolean inFlight;
  private boolean awaitingAnswer;
  private long sentMillis;
  private long attemptMillis;
  private long confirmedMillis;
  private long lastCommitMillis = Long.MIN_VALUE / 2;
  private boolean scheduled;
  private boolean closed;
  private long failingSinceMillis = -1;

  /**
   * Creates the journal of a term of leadership.
   *
   * @param table the store
   * @param timers delays commits
   * @param clock a monotonic clock
   * @param log records when commits start to fail and succeed again
   * @param term the term of leadership
   * @param listener receives the outcomes of commits
   */
  public Journal(
      TablePort table,
      Timers timers,
      InstantSource clock,
      EventLog log,
      Term term,
      Listener listener) {
    this.table = table;
    this.timers = timers;
    this.clock = clock;
    this.log = log;
    this.term = term;
    this.listener = listener;
    this.headVersion = term.version();
    this.confirmedMillis = term.claimedMillis();
  }

  /**
   * Writes a row with the next commit.
   *
   * @param row the row
   * @param content encodes the content when the commit is made
   */
  public void put(RowName row, Supplier<byte[]> content) {
    add(row, Optional.of(content));
  }

  /**
   * Deletes a row with the next commit.
   *
   * @param row the row
   */
  public void remove(RowName row) {
    add(row, Optional.empty());
  }

  /**
   * Writes a row and deletes others atomically, in one commit.
   *
   * @param row the row
   * @param content encodes the content when the commit is made
   * @param replaced the rows to delete
   */
  public void replace(RowName row, Supplier<byte[]> content, List<RowName> replaced) {
    List<RowName> group = new ArrayList<>(replaced);
    group.add(row);
    add(row, Optional.of(content), group);
    replaced.forEach(deleted -> add(deleted, Optional.empty(), group));
  }

  private void add(RowName row, Optional<Supplier<byte[]>> content) {
    add(row, content, List.of());
  }

  private void add(RowName row, Optional<Supplier<byte[]>> content, List<RowName> group) {
    Entry old = dirty.get(row);
    long sequence = old == null ? ++lastSequence : old.sequence;
    dirty.put(row, new Entry(sequence, content, group));
    schedule(LINGER);
  }

  /**
   * Retracts a row that is certainly not written yet.
   *
   * @param row the row
   * @return whether it is retracted; otherwise it is written or may be
   */
  public boolean retract(RowName row) {
    boolean retracted = false;
    if (batch != null && batch.writes(row)) {
      if (!batch.refusedOnly || awaitingAnswer) {
        return false;
      }
      retracted = batch.puts.removeIf(put -> put.row().equals(row));
    }
    boolean wasDirty = dirty.remove(row) != null;
    return wasDirty || retracted;
  }

  /**
   * Runs an action once all rows put so far are written. The action never runs if they are not.
   *
   * @param action the action
   */
  public void whenDurable(Runnable action) {
    if (durableSequence >= lastSequence) {
      action.run();
      return;
    }
    waiters.add(new Waiter(lastSequence, action));
  }

  /**
   * Runs an action once the store has confirmed that no other VM had taken the cell over when this
   * method was called. The action never runs if another VM has.
   *
   * @param action the action
   */
  public void whenConfirmed(Runnable action) {
    confirmations.add(action);
    schedule(LINGER);
  }

  /**
   * Returns how long commits have been failing.
   *
   * @return the time, or zero while they succeed
   */
  public Duration failingFor() {
    return failingSinceMillis < 0
        ? Duration.ZERO
        : Duration.ofMillis(clock.millis() - failingSinceMillis);
  }

  /**
   * Returns how long the commit in flight has been unanswered.
   *
   * @return the time, or zero if no commit is in flight
   */
  public Duration stalledFor() {
    return inFlight ? Duration.ofMillis(clock.millis() - sentMillis) : Duration.ZERO;
  }

  /**
   * Returns the newest moment at which no other VM had taken the cell over, as the store confirmed:
   * when the last successful attempt to commit was sent.
   *
   * @return the moment on the journal's clock, in ms
   */
  public long confirmedMillis() {
    return confirmedMillis;
  }

  /**
   * Tells whether all rows are written.
   *
   * @return whether no row waits and no commit is in flight
   */
  public boolean idle() {
    return dirty.isEmpty() && !inFlight;
  }

  /** Closes the journal; nothing more is written and pending actions do not run. */
  public void close() {
    closed = true;
  }

  private void schedule(Duration delay) {
    if (closed || inFlight || scheduled || (dirty.isEmpty() && confirmations.isEmpty())) {
      return;
    }
    scheduled = true;
    timers.after(
        delay,
        () -> {
          scheduled = false;
          flush();
        });
  }

  /**
   * Commits only the head row if nothing was committed recently, so that a VM that reaches no other
   * VM sees in the store that the cell has a leader, and the leader that no other VM has taken
   * over.
   */
  public void heartbeat() {
    boolean quiet = clock.millis() - lastCommitMillis >= HEARTBEAT_INTERVAL.toMillis();
    if (!closed && !inFlight && dirty.isEmpty() && quiet) {
      commit();
    }
  }

  private void flush() {
    if (!closed && !inFlight && !(dirty.isEmpty() && confirmations.isEmpty())) {
      commit();
    }
  }

  private void commit() {
    List<Put> puts = new ArrayList<>();
    List<RowName> removals = new ArrayList<>();
    batch = new Batch(collect(puts, removals), puts, removals, List.copyOf(confirmations));
    confirmations.clear();
    commitCount++;
    puts.add(new Put(Rows.HEAD, Rows.encode(new HeadRecord(term.epoch(), commitCount))));
    inFlight = true;
    sentMillis = clock.millis();
    send();
  }

  private long collect(List<Put> puts, List<RowName> removals) {
    long sequence = durableSequence;
    int bytes = 0;
    while (!dirty.isEmpty() && puts.size() + removals.size() < MAX_ROWS && bytes < MAX_BYTES) {
      RowName first = dirty.keySet().iterator().next();
      Entry entry = dirty.get(first);
      sequence = entry.sequence;
      bytes += collect(first, puts, removals);
      for (RowName row : entry.group) {
        bytes += collect(row, puts, removals);
      }
    }
    // Rows collected with their group may have higher numbers, so all are covered if none waits.
    return dirty.isEmpty() ? lastSequence : sequence;
  }

  /** Moves a row into the commit if it waits. Returns the size of its content in bytes. */
  private int collect(RowName row, List<Put> puts, List<RowName> removals) {
    Entry entry = dirty.remove(row);
    if (entry == null) {
      return 0;
    }
    Optional<byte[]> content = entry.content.map(Supplier::get);
    content.ifPresent(value -> puts.add(new Put(row, value)));
    if (content.isEmpty()) {
      removals.add(row);
    }
    return content.map(value -> value.length).orElse(0);
  }

  private void send() {
    if (closed) {
      return;
    }
    awaitingAnswer = true;
    attemptMillis = clock.millis();
    List<Expected> expected =
        List.of(new Expected(Rows.LEADER, term.version()), new Expected(Rows.HEAD, headVersion));
    TableCommit commit = new TableCommit(Rows.PART, expected, batch.puts, batch.removals);
    var unused = table.commit(commit).subscribe(this::onCommitResult);
  }

  private void onCommitResult(CommitResult result) {
    if (closed) {
      return;
    }
    awaitingAnswer = false;
    switch (result.kind()) {
      case DONE -> onCommitted(result.version());
      case CONFLICT -> onConflict(result.current());
      case REFUSED, UNKNOWN -> retry(result.kind());
      default -> throw new IllegalStateException("unknown kind of commit result: " + result.kind());
    }
  }

  private void onCommitted(long version) {
    headVersion = version;
    confirmedMillis = attemptMillis;
    durableSequence = batch.sequence;
    inFlight = false;
    final List<Runnable> confirmed = batch.confirmations;
    batch = null;
    lastCommitMillis = clock.millis();
    if (failingSinceMillis >= 0) {
      log.event("store-regained", "journal", "afterMs", clock.millis() - failingSinceMillis);
      failingSinceMillis = -1;
    }
    listener.storeReached(true);
    while (!waiters.isEmpty() && waiters.peek().sequence <= durableSequence) {
      waiters.poll().action.run();
    }
    confirmed.forEach(Runnable::run);
    schedule(LINGER);
  }

  /** Handles a failed condition: an earlier attempt was carried out, or another VM leads. */
  private void onConflict(List<TableRow> current) {
    Optional<TableRow> leader = findRow(current, Rows.LEADER);
    Optional<TableRow> head = findRow(current, Rows.HEAD);
    boolean leads = leader.map(row -> row.version() == term.version()).orElse(false);
    if (leads
        && head.isPresent()
        && head.get().version() != headVersion
        && isOwnCommit(head.get())) {
      onCommitted(head.get().version());
      return;
    }
    log.event("journal-fenced", "journal", "epoch", term.epoch(), "commit", commitCount);
    close();
    listener.deposed();
  }

  private boolean isOwnCommit(TableRow head) {
    try {
      return Rows.decode(HeadRecord.class, head.value())
          .equals(new HeadRecord(term.epoch(), commitCount));
    } catch (InvalidFieldException e) {
      log.event("row-unreadable", "head", "reason", e.getMessage());
      return false;
    }
  }

  private static Optional<TableRow> findRow(List<TableRow> rows, RowName name) {
    return rows.stream()
        .filter(row -> row.table().equals(name.table()) && row.key().equals(name.key()))
        .findFirst();
  }

  private void retry(CommitResult.Kind kind) {
    batch.refusedOnly &= kind == CommitResult.Kind.REFUSED;
    if (failingSinceMillis < 0) {
      failingSinceMillis = clock.millis();
      log.event("store-lost", "journal", "outcome", kind, "commit", commitCount);
    }
    listener.storeReached(false);
    Duration delay = kind == CommitResult.Kind.REFUSED ? REFUSED_RETRY_DELAY : Duration.ZERO;
    timers.after(delay, this::send);
  }

  private record Entry(long sequence, Optional<Supplier<byte[]>> content, List<RowName> group) {}

  private record Waiter(long sequence, Runnable action) {}

  /** The rows of one commit, until it is done. */
  private static final class Batch {
    private final long sequence;
    private final List<Put> puts;
    private final List<RowName> removals;
    private final List<Runnable> confirmations;

    /** Whether every attempt was refused, so that no row was or can still be written. */
    private boolean refusedOnly = true;

    Batch(long sequence, List<Put> puts, List<RowName> removals, List<Runnable> confirmations) {
      this.sequence = sequence;
      this.puts = puts;
      this.removals = removals;
      this.confirmations = confirmations;
    }

    boolean writes(RowName row) {
      return puts.stream().anyMatch(put -> put.row().equals(row));
    }
  }
}
