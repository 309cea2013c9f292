package org.masticspread.cell.lead;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticspread.cell.port.TableCommit;
import org.masticspread.cell.port.TableCommit.Put;
import org.masticspread.cell.port.TableCommit.RowName;
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

  private void follow() {
    for (int i = 0; i < ROWS; i++) {
      put(row(i));
    }
    new TableFollower(
            table,
            time,
            time,
            (event, id, facts) -> {},
            "servers",
            PART,
            (rows, all) ->
                rows.stream()
                    .filter(row -> !all)
                    .forEach(row -> (row.deleted() ? deletedRows : changedRows).add(row.key())))
        .start();
    time.pass(UNTIL_MID_READ);
  }

  private void put(RowName row) {
    table.apply(new TableCommit(PART, List.of(), List.of(new Put(row, new byte[] {1})), List.of()));
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
