package org.masticspread.cell.lead;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.masticspread.cell.log.EventLog;
import org.masticspread.cell.port.RowPage;
import org.masticspread.cell.port.StoreReadException;
import org.masticspread.cell.port.TablePort;
import org.masticspread.cell.port.TableRow;
import org.masticspread.cell.port.Timers;

/**
 * Follows one part of a table: reads all its rows, then long-polls for changes. If changes were
 * missed, it reads all rows again.
 */
public final class TableFollower {
  /** How long the store may hold a poll of a table whose changes are not urgent. */
  static final Duration LONG_HOLD = Duration.ofSeconds(4);

  /** Added to the hold of a poll; a very slow store takes about this long for an answer. */
  private static final Duration POLL_MARGIN = Duration.ofMillis(1200);

  /**
   * The first timeout of a refresh, which closes idle connections that went silent; it is doubled
   * up to {@link #POLL_MARGIN} while the store is slower.
   */
  private static final Duration MIN_REFRESH_TIMEOUT = Duration.ofMillis(400);

  /** The delay between attempts while the store does not answer. */
  private static final Duration RETRY_DELAY = Duration.ofMillis(150);

  /** About 10 kB per page, so that control messages of the VM are not delayed behind it. */
  private static final int PAGE_ROWS = 100;

  /** Receives the rows of the part and their changes. */
  @FunctionalInterface
  public interface Listener {
    /**
     * Handles rows.
     *
     * @param rows the rows, in order
     * @param all whether these are all rows of the part; otherwise they are changes
     */
    void onRows(List<TableRow> rows, boolean all);
  }

  private final TablePort store;
  private final Timers timers;
  private final InstantSource clock;
  private final EventLog log;
  private final String table;
  private final String part;
  private final Supplier<Duration> hold;
  private final Listener listener;
  private boolean closed;
  private boolean storeLost;

  /** Whether the changes after the last read of all rows were gone as well. */
  private boolean historyLost;

  /** Whether a poll is in flight; not while rows are read or before a retry. */
  private boolean polling;

  /** The number of the poll in flight; answers to earlier polls are ignored. */
  private int pollNumber;

  private boolean refreshing;
  private Duration refreshTimeout = MIN_REFRESH_TIMEOUT;
  private long version;
  private long confirmedMillis;
  private boolean confirmed;

  /**
   * Creates a follower.
   *
   * @param store the store
   * @param timers schedules retries
   * @param clock a monotonic clock
   * @param log records when the table is lost and regained
   * @param table the table
   * @param part its part
   * @param hold returns how long the store may hold the next poll
   * @param listener receives the rows
   */
  public TableFollower(
      TablePort store,
      Timers timers,
      InstantSource clock,
      EventLog log,
      String table,
      String part,
      Supplier<Duration> hold,
      Listener listener) {
    this.store = store;
    this.timers = timers;
    this.clock = clock;
    this.log = log;
    this.table = table;
    this.part = part;
    this.hold = hold;
    this.listener = listener;
    this.confirmedMillis = clock.millis();
  }

  /** Starts to follow the part. */
  public void start() {
    readAll();
  }

  /** Stops following; later answers are ignored. */
  public void close() {
    closed = true;
  }

  /**
   * Returns the latest time at which the rows passed on were certainly all that the store had.
   *
   * @return the time of the clock, in ms; before the first answer of the store, the time at which
   *     the follower was created
   */
  public long confirmedMillis() {
    return confirmedMillis;
  }

  /**
   * Returns whether the store has answered.
   *
   * @return whether {@link #confirmedMillis} was confirmed by the store
   */
  public boolean confirmed() {
    return confirmed;
  }

  /**
   * Asks the store for changes at once, beside the poll in flight, whose answer may never arrive.
   * Does nothing while rows are read or such a request is in flight.
   */
  public void refresh() {
    if (closed || !polling || refreshing) {
      return;
    }
    refreshing = true;
    long sentMillis = clock.millis();
    var unused =
        store
            .follow(table, version, Duration.ZERO, refreshTimeout)
            .subscribe(page -> onRefreshed(page, sentMillis), this::onRefreshFailed);
  }

  private void onRefreshed(RowPage page, long sentMillis) {
    refreshing = false;
    boolean slow = clock.millis() - sentMillis > MIN_REFRESH_TIMEOUT.toMillis();
    refreshTimeout = slow ? POLL_MARGIN : MIN_REFRESH_TIMEOUT;
    if (!closed && polling) {
      // The poll in flight is abandoned: it may hang, and the next one continues from here.
      onChanges(page, sentMillis);
    }
  }

  private void onRefreshFailed(Throwable error) {
    refreshing = false;
    if (isHistoryGone(error) && polling) {
      onError(error, true);
      return;
    }
    boolean first = refreshTimeout.equals(MIN_REFRESH_TIMEOUT);
    Duration doubled = refreshTimeout.multipliedBy(2);
    refreshTimeout = doubled.compareTo(POLL_MARGIN) > 0 ? POLL_MARGIN : doubled;
    if (first) {
      refresh();
    }
  }

  private void readAll() {
    readPages(new ArrayList<>(), "", Long.MAX_VALUE, clock.millis());
  }

  private void confirm(long asOfMillis) {
    confirmed = true;
    confirmedMillis = Math.max(confirmedMillis, asOfMillis);
  }

  /**
   * Reads a page and those after it.
   *
   * @param before the rows of the previous pages
   * @param from the first key of the page
   * @param since the oldest version of the previous pages; following from it includes changes made
   *     to them while later pages are read
   * @param startedMillis when the first page was requested
   */
  private void readPages(List<TableRow> before, String from, long since, long startedMillis) {
    if (closed) {
      return;
    }
    var unused =
        store
            .read(table, part, from, PAGE_ROWS)
            .subscribe(
                page -> onPage(before, page, since, startedMillis), error -> onError(error, false));
  }

  private void onPage(List<TableRow> before, RowPage page, long since, long startedMillis) {
    if (closed) {
      return;
    }
    before.addAll(page.rows());
    long oldest = Math.min(since, page.version());
    if (page.hasMore() && !page.rows().isEmpty()) {
      String last = page.rows().get(page.rows().size() - 1).key();
      readPages(before, last + '\0', oldest, startedMillis);
      return;
    }
    markReached();
    version = oldest;
    confirm(startedMillis);
    notifyListener(before, true);
    follow();
  }

  private void follow() {
    if (closed) {
      return;
    }
    int number = ++pollNumber;
    polling = true;
    Duration pollHold = hold.get();
    long sentMillis = clock.millis();
    var unused =
        store
            .follow(table, version, pollHold, POLL_MARGIN)
            .subscribe(
                page -> ifCurrent(number, () -> onPolled(page, sentMillis, pollHold)),
                error -> ifCurrent(number, () -> onError(error, true)));
  }

  private void ifCurrent(int number, Runnable action) {
    if (!closed && polling && number == pollNumber) {
      action.run();
    }
  }

  private void onPolled(RowPage page, long sentMillis, Duration pollHold) {
    // The store held an answer without changes for the whole time of the poll.
    long heldUntilMillis = sentMillis + pollHold.toMillis();
    boolean held = page.rows().isEmpty() && clock.millis() >= heldUntilMillis;
    onChanges(page, held ? heldUntilMillis : sentMillis);
  }

  private void onChanges(RowPage page, long asOfMillis) {
    markReached();
    historyLost = false;
    confirm(asOfMillis);
    // A refresh and a poll may overtake each other; the older answer has nothing new.
    boolean newer = page.version() > version;
    version = Math.max(version, page.version());
    List<TableRow> changed = page.rows().stream().filter(row -> row.part().equals(part)).toList();
    if (newer && !changed.isEmpty()) {
      notifyListener(changed, false);
    }
    follow();
  }

  /** Passes rows on; a listener that fails must not end the feed. */
  private void notifyListener(List<TableRow> rows, boolean all) {
    try {
      listener.onRows(rows, all);
    } catch (RuntimeException e) {
      log.event("rows-not-handled", table, "rows", rows.size(), "reason", String.valueOf(e));
    }
  }

  private void onError(Throwable error, boolean following) {
    if (closed) {
      return;
    }
    polling = false;
    boolean historyGone = isHistoryGone(error);
    final boolean firstFailure = !storeLost;
    final boolean firstLoss = historyGone && !historyLost;
    historyLost |= historyGone;
    if (!storeLost) {
      storeLost = true;
      log.event("store-lost", table, "reason", error.getMessage(), "historyGone", historyGone);
    }
    if (following && !historyGone) {
      // A connection that went silent was closed at the timeout, and the next poll opens another.
      timers.after(firstFailure ? Duration.ZERO : RETRY_DELAY, this::follow);
      return;
    }
    timers.after(firstLoss ? Duration.ZERO : RETRY_DELAY, this::readAll);
  }

  private static boolean isHistoryGone(Throwable error) {
    return error instanceof StoreReadException read && read.historyGone();
  }

  private void markReached() {
    if (storeLost) {
      storeLost = false;
      log.event("store-regained", table, "version", version);
    }
  }
}
