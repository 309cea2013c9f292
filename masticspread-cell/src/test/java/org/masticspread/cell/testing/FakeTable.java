package org.masticspread.cell.testing;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.core.SingleEmitter;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.masticspread.cell.port.CommitResult;
import org.masticspread.cell.port.CommitResult.Kind;
import org.masticspread.cell.port.RowPage;
import org.masticspread.cell.port.StoreReadException;
import org.masticspread.cell.port.TableCommit;
import org.masticspread.cell.port.TableCommit.Expected;
import org.masticspread.cell.port.TableCommit.Put;
import org.masticspread.cell.port.TableCommit.RowName;
import org.masticspread.cell.port.TablePort;
import org.masticspread.cell.port.TableRow;

/** An in-memory store whose transactions take time and may be lost, delayed or refused. */
public final class FakeTable implements TablePort {
  private static final Duration COMMIT_TIME = Duration.ofMillis(5);
  private static final Duration POLL_INTERVAL = Duration.ofMillis(20);
  private static final Duration COMMIT_TIMEOUT = Duration.ofMillis(1000);

  /** The outcome of a transaction. */
  public enum CommitOutcome {
    /** Committed and answered. */
    DONE,
    /** Committed, but the answer is lost. */
    ANSWER_LOST,
    /** Committed 3 s later if its conditions still hold; no answer. */
    LATE,
    /** Refused. */
    REFUSED,
    /** Neither committed nor answered. */
    SILENT
  }

  private final VirtualTime time;
  private final Map<String, TableRow> rows = new TreeMap<>();

  /** Deleted rows, as reported to followers of their table. */
  private final Map<String, TableRow> deleted = new TreeMap<>();

  private final List<CommitOutcome> nextOutcomes = new ArrayList<>();
  private final List<TableCommit> commits = new ArrayList<>();
  private CommitOutcome defaultOutcome = CommitOutcome.DONE;
  private Duration commitTime = COMMIT_TIME;
  private long version;

  /** Creates an empty store. */
  public FakeTable(VirtualTime time) {
    this.time = time;
  }

  /** Sets the outcomes of the next transactions, one each; later ones have the default outcome. */
  public FakeTable next(CommitOutcome... outcomes) {
    nextOutcomes.addAll(List.of(outcomes));
    return this;
  }

  /** Sets the default outcome of transactions from now on. */
  public void always(CommitOutcome newDefault) {
    defaultOutcome = newDefault;
  }

  /** Sets the commit latency from now on. */
  public void commitTime(Duration latency) {
    commitTime = latency;
  }

  /** Returns all transactions sent so far. */
  public List<TableCommit> commits() {
    return commits;
  }

  /** Returns a row, if it exists. */
  public Optional<TableRow> row(RowName name) {
    return Optional.ofNullable(rows.get(key(name)));
  }

  /** Returns the rows of a table. */
  public List<TableRow> rowsOf(String tableName) {
    return rows.values().stream().filter(row -> row.table().equals(tableName)).toList();
  }

  /** Deletes all rows of a table, as if they had never been written. */
  public void deleteAll(String tableName) {
    rows.values().removeIf(row -> row.table().equals(tableName));
  }

  /** Counts the transactions that wrote a row. */
  public long writesOf(RowName name) {
    Predicate<TableCommit> writes =
        commit -> commit.puts().stream().anyMatch(put -> put.row().equals(name));
    return commits.stream().filter(writes).count();
  }

  @Override
  public Single<CommitResult> commit(TableCommit commit) {
    commits.add(commit);
    CommitOutcome outcome = nextOutcomes.isEmpty() ? defaultOutcome : nextOutcomes.remove(0);
    return Single.create(
        emitter -> {
          switch (outcome) {
            case DONE -> time.after(commitTime, () -> emitter.onSuccess(apply(commit)));
            case ANSWER_LOST -> {
              time.after(commitTime, () -> apply(commit));
              time.after(COMMIT_TIMEOUT, () -> emitter.onSuccess(CommitResult.of(Kind.UNKNOWN)));
            }
            case LATE -> {
              time.after(Duration.ofSeconds(3), () -> apply(commit));
              time.after(COMMIT_TIMEOUT, () -> emitter.onSuccess(CommitResult.of(Kind.UNKNOWN)));
            }
            case REFUSED ->
                time.after(COMMIT_TIME, () -> emitter.onSuccess(CommitResult.of(Kind.REFUSED)));
            case SILENT ->
                time.after(COMMIT_TIMEOUT, () -> emitter.onSuccess(CommitResult.of(Kind.UNKNOWN)));
            default -> throw new IllegalStateException("unexpected outcome: " + outcome);
          }
        });
  }

  /** Applies a transaction at once. */
  public CommitResult apply(TableCommit commit) {
    List<TableRow> current = new ArrayList<>();
    boolean holds = true;
    for (Expected expected : commit.expected()) {
      TableRow row = rows.get(key(expected.row()));
      holds &= (row == null ? 0 : row.version()) == expected.version();
      if (row != null) {
        current.add(row);
      }
    }
    if (!holds) {
      return new CommitResult(Kind.CONFLICT, 0, current);
    }
    version++;
    for (Put put : commit.puts()) {
      RowName name = put.row();
      deleted.remove(key(name));
      rows.put(
          key(name),
          new TableRow(name.table(), commit.part(), name.key(), put.value(), version, false));
    }
    commit.removals().forEach(name -> delete(name, commit.part()));
    return new CommitResult(Kind.DONE, version, List.of());
  }

  private void delete(RowName name, String part) {
    if (rows.remove(key(name)) != null) {
      deleted.put(
          key(name), new TableRow(name.table(), part, name.key(), new byte[0], version, true));
    }
  }

  @Override
  public Single<RowPage> read(String table, String part, String from, int limit) {
    List<TableRow> found =
        rows.values().stream()
            .filter(row -> row.table().equals(table) && row.part().equals(part))
            .filter(row -> row.key().compareTo(from) >= 0)
            .toList();
    List<TableRow> first = found.subList(0, Math.min(limit, found.size()));
    RowPage page = new RowPage(List.copyOf(first), first.size() < found.size(), version);
    return Single.create(emitter -> time.after(COMMIT_TIME, () -> emitter.onSuccess(page)));
  }

  @Override
  public Single<RowPage> follow(String table, long after, Duration wait, Duration margin) {
    long until = time.millis() + wait.toMillis();
    return Single.create(
        emitter -> time.after(POLL_INTERVAL, () -> poll(table, after, until, emitter)));
  }

  /** Answers as soon as there are changes, or when the wait has timed out. */
  private void poll(String table, long after, long until, SingleEmitter<RowPage> emitter) {
    if (defaultOutcome == CommitOutcome.SILENT) {
      emitter.onError(new StoreReadException(false, "silent", null));
      return;
    }
    List<TableRow> changes =
        Stream.concat(rows.values().stream(), deleted.values().stream())
            .filter(row -> row.table().equals(table) && row.version() > after)
            .sorted(Comparator.comparingLong(TableRow::version))
            .toList();
    if (!changes.isEmpty() || time.millis() >= until) {
      emitter.onSuccess(new RowPage(changes, false, version));
      return;
    }
    time.after(POLL_INTERVAL, () -> poll(table, after, until, emitter));
  }

  private static String key(RowName name) {
    return name.table() + "/" + name.key();
  }
}
