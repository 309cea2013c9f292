package org.masticspread.cell.lead;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.masticspread.cell.journal.EndedRecord;
import org.masticspread.cell.journal.JobRecord;
import org.masticspread.cell.journal.ProgressRecord;
import org.masticspread.cell.journal.QueueRecord;
import org.masticspread.cell.journal.Rows;
import org.masticspread.cell.journal.TeamRecord;
import org.masticspread.cell.journal.UsedWorkersRecord;
import org.masticspread.cell.log.EventLog;
import org.masticspread.cell.port.RowPage;
import org.masticspread.cell.port.TablePort;
import org.masticspread.cell.port.TableRow;
import org.masticspread.cell.port.Timers;
import org.masticspread.model.result.InvalidFieldException;

/**
 * Loads the jobs that earlier leaders accepted and the workers that they used. Retries until the
 * store answers.
 *
 * <p>The page size starts small and doubles while pages arrive quickly, so that on a slow link the
 * reads of a new leader do not delay its answers to probes.
 */
final class CellLoader {
  private static final Duration RETRY_DELAY = Duration.ofMillis(100);

  /** About 30 kB of jobs. */
  private static final int MIN_PAGE_ROWS = 25;

  private static final int MAX_PAGE_ROWS = 400;

  /** A page that takes longer than this saturates the link. */
  private static final Duration QUICK_READ = Duration.ofMillis(60);

  private final TablePort store;
  private final Timers timers;
  private final EventLog log;
  private final InstantSource clock;
  private final BooleanSupplier stillNeeded;
  private long rowsRead;

  CellLoader(
      TablePort store,
      Timers timers,
      EventLog log,
      InstantSource clock,
      BooleanSupplier stillNeeded) {
    this.store = store;
    this.timers = timers;
    this.log = log;
    this.clock = clock;
    this.stillNeeded = stillNeeded;
  }

  /**
   * A job as it was stored.
   *
   * @param record the accepted order
   * @param progress its progress, if any was written
   */
  record StoredJob(JobRecord record, Optional<ProgressRecord> progress) {}

  /**
   * The state that earlier leaders stored.
   *
   * @param jobs the jobs that have not ended
   * @param workers the workers that they may have used
   * @param queues the rules of the queues of these jobs
   * @param teams the caps of the teams of these jobs
   */
  record StoredState(
      List<StoredJob> jobs,
      List<UsedWorkersRecord> workers,
      List<QueueRecord> queues,
      List<TeamRecord> teams) {}

  /** Returns the number of rows read so far. */
  long rowsRead() {
    return rowsRead;
  }

  /** Loads all jobs and workers. Does not call the consumer once they are no longer needed. */
  void load(Consumer<StoredState> loaded) {
    Map<String, ProgressRecord> progress = new HashMap<>();
    List<JobRecord> jobs = new ArrayList<>();
    List<UsedWorkersRecord> workers = new ArrayList<>();
    List<QueueRecord> queues = new ArrayList<>();
    List<TeamRecord> teams = new ArrayList<>();
    int[] pending = {5};
    Runnable done =
        () -> {
          if (--pending[0] == 0) {
            loaded.accept(new StoredState(join(jobs, progress), workers, queues, teams));
          }
        };
    readAll(
        Rows.PROGRESS_TABLE,
        row -> decode(ProgressRecord.class, row).ifPresent(p -> progress.put(row.key(), p)),
        done);
    readAll(Rows.JOB_TABLE, row -> decode(JobRecord.class, row).ifPresent(jobs::add), done);
    readAll(
        Rows.USED_WORKER_TABLE,
        row -> decode(UsedWorkersRecord.class, row).ifPresent(workers::add),
        done);
    readAll(Rows.QUEUE_TABLE, row -> decode(QueueRecord.class, row).ifPresent(queues::add), done);
    readAll(Rows.TEAM_TABLE, row -> decode(TeamRecord.class, row).ifPresent(teams::add), done);
  }

  /** Loads the final states of ended jobs. Does not run the action once they are not needed. */
  void loadEnded(BiConsumer<String, EndedRecord> each, Runnable then) {
    readAll(
        Rows.ENDED_TABLE,
        row -> decode(EndedRecord.class, row).ifPresent(end -> each.accept(row.key(), end)),
        then);
  }

  /**
   * Reads the final state of one job, and retries until the store answers or it is not needed.
   *
   * @param job the id of the job
   * @param found receives the state; empty if the job has not ended
   */
  void findEnded(String job, Consumer<Optional<EndedRecord>> found) {
    if (!stillNeeded.getAsBoolean()) {
      return;
    }
    var unused =
        store
            .read(Rows.ENDED_TABLE, Rows.PART, job, 1)
            .subscribe(
                page ->
                    found.accept(
                        page.rows().stream()
                            .filter(row -> row.key().equals(job))
                            .findFirst()
                            .flatMap(row -> decode(EndedRecord.class, row))),
                error -> {
                  log.event("store-read-failed", Rows.ENDED_TABLE, "reason", error.getMessage());
                  timers.after(RETRY_DELAY, () -> findEnded(job, found));
                });
  }

  private static List<StoredJob> join(List<JobRecord> jobs, Map<String, ProgressRecord> progress) {
    List<StoredJob> stored = new ArrayList<>();
    for (JobRecord job : jobs) {
      stored.add(new StoredJob(job, Optional.ofNullable(progress.get(job.order().id()))));
    }
    return stored;
  }

  private void readAll(String table, Consumer<TableRow> each, Runnable then) {
    read(new TableScan(table, each, then), "", MIN_PAGE_ROWS);
  }

  private void read(TableScan scan, String from, int rows) {
    if (!stillNeeded.getAsBoolean()) {
      return;
    }
    long sentMillis = clock.millis();
    var unused =
        store
            .read(scan.table, Rows.PART, from, rows)
            .subscribe(
                page -> onPage(scan, page, nextPageRows(rows, clock.millis() - sentMillis)),
                error -> {
                  log.event("store-read-failed", scan.table, "reason", error.getMessage());
                  timers.after(RETRY_DELAY, () -> read(scan, from, MIN_PAGE_ROWS));
                });
  }

  private static int nextPageRows(int rows, long tookMillis) {
    return tookMillis <= QUICK_READ.toMillis()
        ? Math.min(MAX_PAGE_ROWS, 2 * rows)
        : Math.max(MIN_PAGE_ROWS, rows / 2);
  }

  private void onPage(TableScan scan, RowPage page, int nextRows) {
    rowsRead += page.rows().size();
    page.rows().forEach(scan.each);
    if (page.hasMore() && !page.rows().isEmpty()) {
      String last = page.rows().get(page.rows().size() - 1).key();
      read(scan, last + '\0', nextRows);
      return;
    }
    scan.then.run();
  }

  private record TableScan(String table, Consumer<TableRow> each, Runnable then) {}

  private <T> Optional<T> decode(Class<T> type, TableRow row) {
    try {
      return Optional.of(Rows.decode(type, row.value()));
    } catch (InvalidFieldException e) {
      log.event("row-unreadable", row.key(), "table", row.table(), "reason", e.getMessage());
      return Optional.empty();
    }
  }
}
