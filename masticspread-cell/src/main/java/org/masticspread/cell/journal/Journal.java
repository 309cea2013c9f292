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
 * Writes the rows of a cell in commits, one after another. Each commit is conditional on the row of
 * the leader and on the commit before it, so that one without an answer can be sent again and takes
 * effect at most once, and none takes effect after a later one or after a change of the leader.
 *
 * <p>A row that is put again before it is written is written once, with its newest content.
 *
 * <pre>{@code
 * journal.put(new RowName(Rows.JOB_TABLE, id), () -> Rows.encode(record));
 * journal.whenDurable(() -> answer(ACCEPTED));
 * }</pre>
 */
public final class Journal {
  /** Collects rows of several events in one commit; callers see it as latency. */
  private static final Duration LINGER = Duration.ofMillis(6);

  /** Shorter than a VM watches the store before it claims a cell whose leader it cannot ask. */
  private static final Duration HEARTBEAT = Duration.ofMillis(1000);

  /** Between two attempts while the store refuses. */
  private static final Duration REFUSED_PAUSE = Duration.ofMillis(80);

  /** The store allows 100 entries; some are conditions, the head and rows that go together. */
  private static final int MOST_ROWS = 90;

  /** The store allows 1 MB in a transaction, as text of 4/3 of the size. */
  private static final int MOST_BYTES = 500_000;

  /** What the journal tells its owner. */
  public interface Listener {
    /** Another VM leads the cell now; nothing more is written. */
    void deposed();

    /**
     * A commit got an answer or got none.
     *
     * @param reached whether the store carried it out
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
  private long headVersion;
  private long commits;
  private long lastSequence;
  private long durableSequence;
  private Batch batch;
  private boolean inFlight;
  private boolean sending;
  private long sentMillis;
  private long doneMillis;
  private boolean scheduled;
  private boolean closed;
  private long failingSinceMillis = -1;

  /**
   * Creates the journal of a won leadership.
   *
   * @param table the store
   * @param timers delays commits
   * @param clock a steady clock
   * @param log told of lost and regained commits
   * @param term the leadership
   * @param listener told of the outcome of commits
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
    this.doneMillis = clock.millis();
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
   * Drops a row with the next commit.
   *
   * @param row the row
   */
  public void remove(RowName row) {
    add(row, Optional.empty());
  }

  /**
   * Writes a row and drops others in one commit: none of it is ever seen without the rest.
   *
   * @param row the row
   * @param content encodes the content when the commit is made
   * @param gone the rows that it replaces
   */
  public void replace(RowName row, Supplier<byte[]> content, List<RowName> gone) {
    List<RowName> together = new ArrayList<>(gone);
    together.add(row);
    add(row, Optional.of(content), together);
    gone.forEach(old -> add(old, Optional.empty(), together));
  }

  private void add(RowName row, Optional<Supplier<byte[]>> content) {
    add(row, content, List.of());
  }

  private void add(RowName row, Optional<Supplier<byte[]>> content, List<RowName> together) {
    Entry old = dirty.get(row);
    long sequence = old == null ? ++lastSequence : old.sequence;
    dirty.put(row, new Entry(sequence, content, together));
    schedule(LINGER);
  }

  /**
   * Takes back a row that is certainly not written yet.
   *
   * @param row the row
   * @return whether it is taken back; else it is written, or may be
   */
  public boolean retract(RowName row) {
    boolean retracted = false;
    if (batch != null && batch.has(row)) {
      if (!batch.refusedOnly || sending) {
        return false;
      }
      retracted = batch.puts.removeIf(put -> put.row().equals(row));
    }
    boolean waited = dirty.remove(row) != null;
    return waited || retracted;
  }

  /**
   * Runs an action once all rows put so far are written. It never runs if they are not.
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
   * Tells for how long commits have failed.
   *
   * @return the time; zero while they succeed
   */
  public Duration failingFor() {
    return failingSinceMillis < 0
        ? Duration.ZERO
        : Duration.ofMillis(clock.millis() - failingSinceMillis);
  }

  /**
   * Tells for how long the commit on its way has had no answer.
   *
   * @return the time; zero if none is on its way
   */
  public Duration stalledFor() {
    return inFlight ? Duration.ofMillis(clock.millis() - sentMillis) : Duration.ZERO;
  }

  /**
   * Tells whether all rows are written.
   *
   * @return whether nothing waits
   */
  public boolean idle() {
    return dirty.isEmpty() && !inFlight;
  }

  /** Writes nothing more. */
  public void close() {
    closed = true;
  }

  private void schedule(Duration delay) {
    if (closed || inFlight || scheduled || dirty.isEmpty()) {
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
   * Commits nothing but the count of commits, if nothing was committed lately, so that a VM that
   * reaches no other one sees in the store that the cell is led.
   */
  public void heartbeat() {
    boolean quiet = clock.millis() - doneMillis >= HEARTBEAT.toMillis();
    if (!closed && !inFlight && dirty.isEmpty() && quiet) {
      commit();
    }
  }

  private void flush() {
    if (!closed && !inFlight && !dirty.isEmpty()) {
      commit();
    }
  }

  private void commit() {
    List<Put> puts = new ArrayList<>();
    List<RowName> removals = new ArrayList<>();
    batch = new Batch(take(puts, removals), puts, removals);
    commits++;
    puts.add(new Put(Rows.HEAD, Rows.encode(new HeadRecord(term.epoch(), commits))));
    inFlight = true;
    sentMillis = clock.millis();
    send();
  }

  private long take(List<Put> puts, List<RowName> removals) {
    long sequence = durableSequence;
    int bytes = 0;
    while (!dirty.isEmpty() && puts.size() + removals.size() < MOST_ROWS && bytes < MOST_BYTES) {
      RowName first = dirty.keySet().iterator().next();
      Entry entry = dirty.get(first);
      sequence = entry.sequence;
      bytes += take(first, puts, removals);
      for (RowName row : entry.together) {
        bytes += take(row, puts, removals);
      }
    }
    // Rows that went along with earlier ones have higher numbers, of which none is left then.
    return dirty.isEmpty() ? lastSequence : sequence;
  }

  /** Moves a row into the commit, if it waits; returns the bytes of its content. */
  private int take(RowName row, List<Put> puts, List<RowName> removals) {
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
    sending = true;
    List<Expected> expected =
        List.of(new Expected(Rows.LEADER, term.version()), new Expected(Rows.HEAD, headVersion));
    TableCommit commit = new TableCommit(Rows.PART, expected, batch.puts, batch.removals);
    var unused = table.commit(commit).subscribe(this::settle);
  }

  private void settle(CommitResult result) {
    if (closed) {
      return;
    }
    sending = false;
    switch (result.kind()) {
      case DONE -> done(result.version());
      case CONFLICT -> conflict(result.current());
      case REFUSED, UNKNOWN -> again(result.kind());
      default -> throw new IllegalStateException("kind: " + result.kind());
    }
  }

  private void done(long version) {
    headVersion = version;
    durableSequence = batch.sequence;
    inFlight = false;
    batch = null;
    doneMillis = clock.millis();
    if (failingSinceMillis >= 0) {
      log.event("store-regained", "journal", "afterMs", clock.millis() - failingSinceMillis);
      failingSinceMillis = -1;
    }
    listener.storeReached(true);
    while (!waiters.isEmpty() && waiters.peek().sequence <= durableSequence) {
      waiters.poll().action.run();
    }
    schedule(LINGER);
  }

  /** The rows differ: either an earlier attempt was carried out, or another VM leads. */
  private void conflict(List<TableRow> current) {
    Optional<TableRow> leader = find(current, Rows.LEADER);
    Optional<TableRow> head = find(current, Rows.HEAD);
    boolean leads = leader.map(row -> row.version() == term.version()).orElse(false);
    if (leads && head.isPresent() && head.get().version() != headVersion && wrote(head.get())) {
      done(head.get().version());
      return;
    }
    log.event("journal-fenced", "journal", "epoch", term.epoch(), "commit", commits);
    close();
    listener.deposed();
  }

  private boolean wrote(TableRow head) {
    try {
      return Rows.decode(HeadRecord.class, head.value())
          .equals(new HeadRecord(term.epoch(), commits));
    } catch (InvalidFieldException e) {
      log.event("row-unreadable", "head", "reason", e.getMessage());
      return false;
    }
  }

  private static Optional<TableRow> find(List<TableRow> rows, RowName name) {
    return rows.stream()
        .filter(row -> row.table().equals(name.table()) && row.key().equals(name.key()))
        .findFirst();
  }

  private void again(CommitResult.Kind kind) {
    batch.refusedOnly &= kind == CommitResult.Kind.REFUSED;
    if (failingSinceMillis < 0) {
      failingSinceMillis = clock.millis();
      log.event("store-lost", "journal", "outcome", kind, "commit", commits);
    }
    listener.storeReached(false);
    Duration pause = kind == CommitResult.Kind.REFUSED ? REFUSED_PAUSE : Duration.ZERO;
    timers.after(pause, this::send);
  }

  private record Entry(long sequence, Optional<Supplier<byte[]>> content, List<RowName> together) {}

  private record Waiter(long sequence, Runnable action) {}

  /** The rows of one commit, until it is done. */
  private static final class Batch {
    private final long sequence;
    private final List<Put> puts;
    private final List<RowName> removals;

    /** Whether every attempt was refused, so that nothing of it is written or can be. */
    private boolean refusedOnly = true;

    Batch(long sequence, List<Put> puts, List<RowName> removals) {
      this.sequence = sequence;
      this.puts = puts;
      this.removals = removals;
    }

    boolean has(RowName row) {
      return puts.stream().anyMatch(put -> put.row().equals(row));
    }
  }
}
