package org.masticspread.cell.lead;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.masticspread.cell.log.EventLog;
import org.masticspread.cell.port.RowPage;
import org.masticspread.cell.port.StoreReadException;
import org.masticspread.cell.port.TablePort;
import org.masticspread.cell.port.TableRow;
import org.masticspread.cell.port.Timers;

/**
 * Follows one part of a table: reads all its rows, then waits for changes. When changes were missed
 * it reads all rows again.
 */
public final class TableFollower {
  /** How long the store may hold a call for changes. A lost change is found by the next call. */
  private static final Duration WAIT = Duration.ofSeconds(4);

  /** Between two attempts while the store does not answer. */
  private static final Duration PAUSE = Duration.ofMillis(150);

  /** Some ten kB: control messages of the VM do not wait behind more. */
  private static final int ROWS_PER_READ = 100;

  /** Takes in rows. */
  @FunctionalInterface
  public interface Listener {
    /**
     * Takes in rows.
     *
     * @param rows the rows, in order
     * @param all whether these are all rows of the part; else they are changes
     */
    void rows(List<TableRow> rows, boolean all);
  }

  private final TablePort store;
  private final Timers timers;
  private final EventLog log;
  private final String table;
  private final String part;
  private final Listener listener;
  private boolean closed;
  private boolean refreshing;
  private boolean lost;
  private long version;

  /**
   * Creates a follower.
   *
   * @param store the store
   * @param timers schedules retries
   * @param log told of a lost and regained table
   * @param table the table
   * @param part its part
   * @param listener takes in the rows
   */
  public TableFollower(
      TablePort store, Timers timers, EventLog log, String table, String part, Listener listener) {
    this.store = store;
    this.timers = timers;
    this.log = log;
    this.table = table;
    this.part = part;
    this.listener = listener;
  }

  /** Starts to follow. */
  public void start() {
    readAll();
  }

  /** Stops. */
  public void close() {
    closed = true;
  }

  /** Reads all rows once, beside the changes that are followed; one read at a time. */
  public void refresh() {
    if (refreshing) {
      return;
    }
    refreshing = true;
    var unused =
        store
            .read(table, part, "", ROWS_PER_READ)
            .subscribe(
                page -> {
                  refreshing = false;
                  if (!closed && !page.hasMore()) {
                    listener.rows(page.rows(), true);
                  }
                },
                error -> {
                  refreshing = false;
                  log.event("store-read-failed", table, "reason", error.getMessage());
                });
  }

  private void readAll() {
    readFrom(new ArrayList<>(), "", Long.MAX_VALUE);
  }

  /**
   * Reads a page and those after it.
   *
   * @param before the rows of the pages before
   * @param from the first key of the page
   * @param since the version of the first page; changes to it while later ones are read are newer
   */
  private void readFrom(List<TableRow> before, String from, long since) {
    if (closed) {
      return;
    }
    var unused =
        store
            .read(table, part, from, ROWS_PER_READ)
            .subscribe(page -> page(before, page, since), error -> failed(error, false));
  }

  private void page(List<TableRow> before, RowPage page, long since) {
    if (closed) {
      return;
    }
    before.addAll(page.rows());
    long oldest = Math.min(since, page.version());
    if (page.hasMore() && !page.rows().isEmpty()) {
      String last = page.rows().get(page.rows().size() - 1).key();
      readFrom(before, last + '\0', oldest);
      return;
    }
    regained();
    version = oldest;
    listener.rows(before, true);
    follow();
  }

  private void follow() {
    if (closed) {
      return;
    }
    var unused =
        store.follow(table, version, WAIT).subscribe(this::changes, error -> failed(error, true));
  }

  private void changes(RowPage page) {
    if (closed) {
      return;
    }
    regained();
    version = Math.max(version, page.version());
    List<TableRow> mine = page.rows().stream().filter(row -> row.part().equals(part)).toList();
    if (!mine.isEmpty()) {
      listener.rows(mine, false);
    }
    follow();
  }

  private void failed(Throwable error, boolean following) {
    if (closed) {
      return;
    }
    boolean gone = error instanceof StoreReadException read && read.historyGone();
    if (!lost) {
      lost = true;
      log.event("store-lost", table, "reason", error.getMessage(), "historyGone", gone);
    }
    if (following && !gone) {
      timers.after(PAUSE, this::follow);
      return;
    }
    timers.after(gone ? Duration.ZERO : PAUSE, this::readAll);
  }

  private void regained() {
    if (lost) {
      lost = false;
      log.event("store-regained", table, "version", version);
    }
  }
}
