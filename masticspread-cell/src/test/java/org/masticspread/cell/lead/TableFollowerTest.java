package org.masticspread.cell.lead;

import static org.assertj.core.api.Assertions.assertThat;

import io.reactivex.rxjava3.core.Single;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticspread.cell.port.CommitResult;
import org.masticspread.cell.port.RowPage;
import org.masticspread.cell.port.StoreReadException;
import org.masticspread.cell.port.TableCommit;
import org.masticspread.cell.port.TableCommit.Put;
import org.masticspread.cell.port.TableCommit.RowName;
import org.masticspread.cell.port.TablePort;
import org.masticspread.cell.testing.FakeTable;
import org.masticspread.cell.testing.VirtualTime;

/** Tests a follower of a table whose rows fill several pages. */
class TableFollowerTest {
  private static final int ROWS = 250;
  private static final String PART = "";

  /** A point in time between the reads of the first and the last page. */
  private static final Duration UNTIL_MID_READ = Duration.ofMillis(7);

  private final VirtualTime time = new VirtualTime();
  private final FakeTable table = new FakeTable(time);
  private final List<String> deletedRows = new ArrayList<>();
  private final List<String> changedRows = new ArrayList<>();

  private static RowName row(int number) {
    return new RowName("servers", String.format("%03d", number));
  }

  private TableFollower follow() {
    for (int i = 0; i < ROWS; i++) {
      put(row(i));
    }
    TableFollower follower =
        follower(
            table,
            (rows, all) ->
                rows.stream()
                    .filter(row -> !all)
                    .forEach(row -> (row.deleted() ? deletedRows : changedRows).add(row.key())));
    follower.start();
    time.pass(UNTIL_MID_READ);
    return follower;
  }

  private TableFollower follower(TablePort store, TableFollower.Listener listener) {
    return new TableFollower(
        store,
        time,
        time,
        (event, id, facts) -> {},
        "servers",
        PART,
        () -> Duration.ofSeconds(4),
        listener);
  }

  private void put(RowName row) {
    table.apply(new TableCommit(PART, List.of(), List.of(new Put(row, new byte[] {1})), List.of()));
  }

  /** The table on a connection on which no change arrives while it is silent. */
  private final class SilencedTable implements TablePort {
    private boolean silent;

    @Override
    public Single<CommitResult> commit(TableCommit commit) {
      return table.commit(commit);
    }

    @Override
    public Single<RowPage> read(String name, String part, String from, int limit) {
      return table.read(name, part, from, limit);
    }

    @Override
    public Single<RowPage> follow(String name, long after, Duration wait, Duration margin) {
      return table
          .follow(name, after, wait, margin)
          .flatMap(p -> silent ? Single.never() : Single.just(p));
    }
  }

  @Nested
  class Refresh {
    @Test
    void should_learn_a_change_of_a_table_of_several_pages() {
      // GIVEN
      SilencedTable store = new SilencedTable();
      Set<String> known = new HashSet<>();
      for (int i = 0; i < ROWS; i++) {
        put(row(i));
      }
      TableFollower follower =
          follower(store, (rows, all) -> rows.forEach(row -> known.add(row.key())));
      follower.start();
      time.pass(Duration.ofSeconds(1));
      store.silent = true;
      put(row(ROWS));
      time.pass(Duration.ofMillis(100));
      store.silent = false;

      // WHEN
      follower.refresh();
      time.pass(Duration.ofMillis(100));

      // THEN
      assertThat(known).contains(row(ROWS).key());
    }
  }

  /** The table of a store that has discarded its history and counts the reads of rows. */
  private final class TableWithoutHistory implements TablePort {
    private int reads;
    private boolean pollsHang;

    @Override
    public Single<CommitResult> commit(TableCommit commit) {
      return table.commit(commit);
    }

    @Override
    public Single<RowPage> read(String name, String part, String from, int limit) {
      reads++;
      return table.read(name, part, from, limit);
    }

    @Override
    public Single<RowPage> follow(String name, long after, Duration wait, Duration margin) {
      boolean hangs = pollsHang && !wait.isZero();
      return hangs ? Single.never() : Single.error(new StoreReadException(true, "gone", null));
    }
  }

  @Nested
  class HistoryGone {
    /** One read for each retry delay, and the first ones. */
    private static final int MAX_READS = 1000 / 150 + 2;

    @Test
    void should_not_read_all_rows_without_pause_while_the_history_stays_gone() {
      // GIVEN
      TableWithoutHistory store = new TableWithoutHistory();

      // WHEN
      follower(store, (rows, all) -> {}).start();
      time.pass(Duration.ofSeconds(1));

      // THEN
      assertThat(store.reads).isLessThanOrEqualTo(MAX_READS);
    }
  }

  @Nested
  class RefreshWithoutHistory {
    @Test
    void should_read_all_rows_again_when_the_poll_hangs() {
      // GIVEN
      TableWithoutHistory store = new TableWithoutHistory();
      store.pollsHang = true;
      Set<String> known = new HashSet<>();
      TableFollower follower =
          follower(store, (rows, all) -> rows.forEach(row -> known.add(row.key())));
      follower.start();
      time.pass(Duration.ofMillis(100));
      put(row(1));

      // WHEN
      follower.refresh();
      time.pass(Duration.ofMillis(100));

      // THEN
      assertThat(known).contains(row(1).key());
    }
  }

  @Nested
  class FailingListener {
    @Test
    void should_keep_following_after_the_listener_failed() {
      // GIVEN
      List<String> seen = new ArrayList<>();
      follower(
              table,
              (rows, all) -> {
                rows.forEach(row -> seen.add(row.key()));
                if (!rows.isEmpty()) {
                  throw new IllegalStateException("cannot handle the rows");
                }
              })
          .start();
      time.pass(Duration.ofMillis(100));
      put(row(1));
      time.pass(Duration.ofMillis(100));

      // WHEN
      put(row(2));
      time.pass(Duration.ofMillis(100));

      // THEN
      assertThat(seen).containsExactly("001", "002");
    }
  }

  @Nested
  class ChangeWhileReading {
    @Test
    void should_report_a_row_deleted_from_a_page_already_read() {
      // GIVEN
      follow();

      // WHEN
      table.apply(new TableCommit(PART, List.of(), List.of(), List.of(row(5))));
      time.pass(Duration.ofSeconds(1));

      // THEN
      assertThat(deletedRows).containsExactly("005");
    }

    @Test
    void should_report_a_row_added_to_a_page_already_read() {
      // GIVEN
      follow();

      // WHEN
      RowName added = new RowName("servers", "0050");
      put(added);
      time.pass(Duration.ofSeconds(1));

      // THEN
      assertThat(changedRows).containsExactly("0050");
    }
  }
}
