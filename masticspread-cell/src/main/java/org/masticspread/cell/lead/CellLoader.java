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
import org.masticspread.cell.journal.Rows;
import org.masticspread.cell.journal.UsedWorkersRecord;
import org.masticspread.cell.log.EventLog;
import org.masticspread.cell.port.RowPage;
import org.masticspread.cell.port.TablePort;
import org.masticspread.cell.port.TableRow;
import org.masticspread.cell.port.Timers;
import org.masticspread.model.result.InvalidFieldException;

/**
 * Reads the jobs that earlier leaders accepted and the workers that they used. Reads again until
 * the store answers.
 *
 * <p>Reads small pages first, and larger ones as long as they come quickly, so that what a new
 * leader reads does not hold up its answers to probes on a slow link.
 */
final class CellLoader {
  private static final Duration PAUSE = Duration.ofMillis(100);

  /** Rows of a page: some 30 kB of jobs. */
  private static final int FIRST_PAGE = 25;

  private static final int LARGEST_PAGE = 400;

  /** A page that takes longer than this fills the link. */
  private static final Duration QUICK = Duration.ofMillis(60);

  private final TablePort store;
  private final Timers timers;
  private final EventLog log;
  private final InstantSource clock;
  private final BooleanSupplier wanted;
  private long rowsRead;

  CellLoader(
      TablePort store, Timers timers, EventLog log, InstantSource clock, BooleanSupplier wanted) {
    this.store = store;
    this.timers = timers;
    this.log = log;
    this.clock = clock;
    this.wanted = wanted;
  }

  /**
   * A job as it was stored.
   *
   * @param record its order
   * @param progress its progress, if any was written
   */
  record Stored(JobRecord record, Optional<ProgressRecord> progress) {}

  /**
   * What earlier leaders stored.
   *
   * @param jobs the jobs that have not ended
   * @param workers the workers that they may have used
   */
  record Loaded(List<Stored> jobs, List<UsedWorkersRecord> workers) {}

  /** Counts the rows that were read so far. */
  long rowsRead() {
    return rowsRead;
  }

  /** Reads all jobs and workers; the consumer is not called once they are not wanted any more. */
  void load(Consumer<Loaded> loaded) {
    Map<String, ProgressRecord> progress = new HashMap<>();
    List<JobRecord> jobs = new ArrayList<>();
    List<UsedWorkersRecord> workers = new ArrayList<>();
    int[] open = {3};
    Runnable done =
        () -> {
          if (--open[0] == 0) {
            loaded.accept(new Loaded(join(jobs, progress), workers));
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
  }

  /** Reads how the jobs ended that have; the action is not run once they are not wanted. */
  void loadEnded(BiConsumer<String, EndedRecord> each, Runnable then) {
    readAll(
        Rows.ENDED_TABLE,
        row -> decode(EndedRecord.class, row).ifPresent(end -> each.accept(row.key(), end)),
        then);
  }

  private static List<Stored> join(List<JobRecord> jobs, Map<String, ProgressRecord> progress) {
    List<Stored> stored = new ArrayList<>();
    for (JobRecord job : jobs) {
      stored.add(new Stored(job, Optional.ofNullable(progress.get(job.order().id()))));
    }
    return stored;
  }

  private void readAll(String table, Consumer<TableRow> each, Runnable then) {
    read(new Reading(table, each, then), "", FIRST_PAGE);
  }

  private void read(Reading reading, String from, int rows) {
    if (!wanted.getAsBoolean()) {
      return;
    }
    long sent = clock.millis();
    var unused =
        store
            .read(reading.table, Rows.PART, from, rows)
            .subscribe(
                page -> page(reading, page, nextPage(rows, clock.millis() - sent)),
                error -> {
                  log.event("store-read-failed", reading.table, "reason", error.getMessage());
                  timers.after(PAUSE, () -> read(reading, from, FIRST_PAGE));
                });
  }

  private static int nextPage(int rows, long tookMillis) {
    return tookMillis <= QUICK.toMillis()
        ? Math.min(LARGEST_PAGE, 2 * rows)
        : Math.max(FIRST_PAGE, rows / 2);
  }

  private void page(Reading reading, RowPage page, int nextRows) {
    rowsRead += page.rows().size();
    page.rows().forEach(reading.each);
    if (page.hasMore() && !page.rows().isEmpty()) {
      String last = page.rows().get(page.rows().size() - 1).key();
      read(reading, last + '\0', nextRows);
      return;
    }
    reading.then.run();
  }

  private record Reading(String table, Consumer<TableRow> each, Runnable then) {}

  private <T> Optional<T> decode(Class<T> type, TableRow row) {
    try {
      return Optional.of(Rows.decode(type, row.value()));
    } catch (InvalidFieldException e) {
      log.event("row-unreadable", row.key(), "table", row.table(), "reason", e.getMessage());
      return Optional.empty();
    }
  }
}
