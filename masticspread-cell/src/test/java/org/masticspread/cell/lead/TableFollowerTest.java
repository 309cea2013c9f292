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

/** Follows a table whose rows take several pages. */
class TableFollowerTest {
  private static final int ROWS = 250;
  private static final String PART = "";

  /** Between the first page and the last. */
  private static final Duration WHILE_READING = Duration.ofMillis(7);

  private final VirtualTime time = new VirtualTime();
  private final FakeTable table = new FakeTable(time);
  private final List<String> dropped = new ArrayList<>();
  private final List<String> changed = new ArrayList<>();

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
            (event, id, facts) -> {},
            "servers",
            PART,
            (rows, all) ->
                rows.stream()
                    .filter(row -> !all)
                    .forEach(row -> (row.deleted() ? dropped : changed).add(row.key())))
        .start();
    time.pass(WHILE_READING);
  }

  private void put(RowName row) {
    table.apply(new TableCommit(PART, List.of(), List.of(new Put(row, new byte[] {1})), List.of()));
  }

  @Nested
  class ChangeWhileReading {
    @Test
    void should_see_a_row_that_was_dropped_from_a_page_already_read() {
      // GIVEN
      follow();

      // WHEN
      table.apply(new TableCommit(PART, List.of(), List.of(), List.of(row(5))));
      time.pass(Duration.ofSeconds(1));

      // THEN
      assertThat(dropped).containsExactly("005");
    }

    @Test
    void should_see_a_row_that_was_added_to_a_page_already_read() {
      // GIVEN
      follow();

      // WHEN
      RowName added = new RowName("servers", "0050");
      put(added);
      time.pass(Duration.ofSeconds(1));

      // THEN
      assertThat(changed).containsExactly("0050");
    }
  }
}
