package org.masticspread.cell.lead;

import java.time.Duration;
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
import org.masticspread.cell.log.EventLog;
import org.masticspread.cell.port.RowPage;
import org.masticspread.cell.port.TablePort;
import org.masticspread.cell.port.TableRow;
import org.masticspread.cell.port.Timers;
import org.masticspread.model.result.InvalidFieldException;

/** Reads the jobs that earlier leaders accepted. Reads again until the store answers. */
final class CellLoader {
  private static final Duration PAUSE = Duration.ofMillis(100);

  private final TablePort store;
  private final Timers timers;
  private final EventLog log;
  private final BooleanSupplier wanted;

  CellLoader(TablePort store, Timers timers, EventLog log, BooleanSupplier wanted) {
    this.store = store;
    this.timers = timers;
    this.log = log;
    this.wanted = wanted;
  }

  /**
   * A job as it was stored.
   *
   * @param record its order
   * @param progress its progress, if any was written
   */
  record Stored(JobRecord record, Optional<ProgressRecord> progress) {}

  /** Reads all jobs; the consumer is not called once they are not wanted any more. */
  void load(Consumer<List<Stored>> loaded) {
    Map<String, ProgressRecord> progress = new HashMap<>();
    List<JobRecord> jobs = new ArrayList<>();
    int[] open = {2};
    Runnable done =
        () -> {
          if (--open[0] == 0) {
            loaded.accept(join(jobs, progress));
          }
        };
    readAll(
        Rows.PROGRESS_TABLE,
        "",
        row -> decode(ProgressRecord.class, row).ifPresent(p -> progress.put(row.key(), p)),
        done);
    readAll(Rows.JOB_TABLE, "", row -> decode(JobRecord.class, row).ifPresent(jobs::add), done);
  }

  /** Reads how the jobs ended that have; the action is not run once they are not wanted. */
  void loadEnded(BiConsumer<String, EndedRecord> each, Runnable then) {
    readAll(
        Rows.ENDED_TABLE,
        "",
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

  private void readAll(String table, String from, Consumer<TableRow> each, Runnable then) {
    if (!wanted.getAsBoolean()) {
      return;
    }
    var unused =
        store
            .read(table, Rows.PART, from)
            .subscribe(
                page -> page(table, page, each, then),
                error -> {
                  log.event("store-read-failed", table, "reason", error.getMessage());
                  timers.after(PAUSE, () -> readAll(table, from, each, then));
                });
  }

  private void page(String table, RowPage page, Consumer<TableRow> each, Runnable then) {
    page.rows().forEach(each);
    if (page.more() && !page.rows().isEmpty()) {
      readAll(table, page.rows().get(page.rows().size() - 1).key() + '\0', each, then);
      return;
    }
    then.run();
  }

  private <T> Optional<T> decode(Class<T> type, TableRow row) {
    try {
      return Optional.of(Rows.decode(type, row.value()));
    } catch (InvalidFieldException e) {
      log.event("row-unreadable", row.key(), "table", row.table(), "reason", e.getMessage());
      return Optional.empty();
    }
  }
}
