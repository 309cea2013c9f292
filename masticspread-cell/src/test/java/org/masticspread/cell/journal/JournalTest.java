package org.masticspread.cell.journal;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticspread.cell.log.EventLog;
import org.masticspread.cell.port.TableCommit;
import org.masticspread.cell.port.TableCommit.Expected;
import org.masticspread.cell.port.TableCommit.Put;
import org.masticspread.cell.port.TableCommit.RowName;
import org.masticspread.cell.testing.FakeTable;
import org.masticspread.cell.testing.FakeTable.CommitOutcome;
import org.masticspread.cell.testing.VirtualTime;

/** Tests commits that are lost, late, refused or fenced. */
class JournalTest {
  private static final RowName ROW = new RowName("jobs", "a");

  private final VirtualTime time = new VirtualTime();
  private final FakeTable table = new FakeTable(time);
  private final List<String> events = new ArrayList<>();
  private Journal journal;

  @BeforeEach
  void lead() {
    journal = journal(claim("life-1", 1, 0));
  }

  private Term claim(String life, long epoch, long leaderVersion) {
    long version =
        table
            .apply(
                new TableCommit(
                    Rows.PART,
                    List.of(new Expected(Rows.LEADER, leaderVersion)),
                    List.of(
                        new Put(Rows.LEADER, Rows.encode(new LeaderRecord("vm", life, epoch))),
                        new Put(Rows.HEAD, Rows.encode(new HeadRecord(epoch, 0)))),
                    List.of()))
            .version();
    return new Term(epoch, version, time.millis());
  }

  private Journal journal(Term term) {
    return new Journal(
        table,
        time,
        time,
        EventLog.NONE,
        term,
        new Journal.Listener() {
          @Override
          public void deposed() {
            events.add("deposed");
          }

          @Override
          public void storeReached(boolean reached) {
            events.add("reached " + reached);
          }
        });
  }

  private void put(String value) {
    journal.put(ROW, () -> value.getBytes(UTF_8));
  }

  private String stored() {
    return table.row(ROW).map(row -> new String(row.value(), UTF_8)).orElse("");
  }

  @Nested
  class PutRow {
    @Test
    void should_write_a_row_once_that_is_put_twice() {
      // WHEN
      put("first");
      put("second");
      time.pass(Duration.ofMillis(50));

      // THEN
      assertThat(stored()).isEqualTo("second");
      assertThat(table.writesOf(ROW)).isEqualTo(1);
    }

    @Test
    void should_write_a_row_again_that_is_put_while_a_commit_is_in_flight() {
      // GIVEN
      put("first");
      time.pass(Duration.ofMillis(8));

      // WHEN
      put("second");
      time.pass(Duration.ofMillis(50));

      // THEN
      assertThat(stored()).isEqualTo("second");
      assertThat(table.writesOf(ROW)).isEqualTo(2);
    }
  }

  @Nested
  class ReplaceRows {
    @Test
    void should_replace_rows_in_one_commit() {
      // GIVEN
      RowName order = new RowName("jobs", "a");
      RowName progress = new RowName("progress", "a");
      RowName ended = new RowName("ended", "a");
      journal.put(progress, () -> new byte[1]);
      for (int i = 0; i < 200; i++) {
        journal.put(new RowName("other", "k" + i), () -> new byte[1]);
      }

      // WHEN
      journal.replace(ended, () -> new byte[1], List.of(order, progress));
      time.pass(Duration.ofMillis(200));

      // THEN
      for (TableCommit commit : table.commits()) {
        boolean deletes = commit.removals().contains(progress);
        boolean writes = commit.puts().stream().anyMatch(put -> put.row().equals(ended));
        assertThat(deletes).isEqualTo(writes).isEqualTo(commit.removals().contains(order));
        assertThat(commit.puts().size() + commit.removals().size()).isLessThan(98);
      }
      assertThat(table.row(ended)).isPresent();
      assertThat(table.row(progress)).isEmpty();
    }
  }

  @Nested
  class WhenDurable {
    @Test
    void should_run_only_after_the_commit() {
      // GIVEN
      put("first");
      journal.whenDurable(() -> events.add("durable"));
      time.pass(Duration.ofMillis(8));
      assertThat(events).doesNotContain("durable");

      // WHEN
      time.pass(Duration.ofMillis(20));

      // THEN
      assertThat(events).contains("durable");
    }

    @Test
    void should_run_once_when_the_answer_is_lost() {
      // GIVEN
      table.next(CommitOutcome.ANSWER_LOST);
      put("first");
      journal.whenDurable(() -> events.add("durable"));

      // WHEN
      time.pass(Duration.ofSeconds(3));

      // THEN
      assertThat(events).containsOnlyOnce("durable");
      assertThat(stored()).isEqualTo("first");
    }

    @Test
    void should_never_run_when_another_vm_leads() {
      // GIVEN
      put("first");
      journal.whenDurable(() -> events.add("durable"));
      claim("life-2", 2, table.row(Rows.LEADER).orElseThrow().version());

      // WHEN
      time.pass(Duration.ofSeconds(3));

      // THEN
      assertThat(events).contains("deposed").doesNotContain("durable");
      assertThat(stored()).isEmpty();
    }
  }

  @Nested
  class LateCommit {
    @Test
    void should_not_let_a_late_commit_overwrite_a_newer_one() {
      // GIVEN
      table.next(CommitOutcome.LATE);
      put("first");
      time.pass(Duration.ofMillis(1100));

      // WHEN
      put("second");
      time.pass(Duration.ofSeconds(5));

      // THEN
      assertThat(stored()).isEqualTo("second");
    }

    @Test
    void should_not_let_a_late_commit_take_effect_after_a_change_of_the_leader() {
      // GIVEN
      table.next(
          CommitOutcome.LATE, CommitOutcome.SILENT, CommitOutcome.SILENT, CommitOutcome.SILENT);
      put("first");
      time.pass(Duration.ofMillis(1100));
      claim("life-2", 2, table.row(Rows.LEADER).orElseThrow().version());

      // WHEN
      time.pass(Duration.ofSeconds(5));

      // THEN
      assertThat(stored()).isEmpty();
    }
  }

  @Nested
  class StoreOutage {
    @Test
    void should_resume_once_the_store_is_back() {
      // GIVEN
      table.always(CommitOutcome.REFUSED);
      put("first");
      time.pass(Duration.ofSeconds(2));
      assertThat(journal.failingFor()).isGreaterThan(Duration.ofSeconds(1));
      assertThat(events).contains("reached false");

      // WHEN
      table.always(CommitOutcome.DONE);
      time.pass(Duration.ofMillis(200));

      // THEN
      assertThat(stored()).isEqualTo("first");
      assertThat(journal.failingFor()).isZero();
    }

    @Test
    void should_return_how_long_a_commit_is_unanswered() {
      // GIVEN
      table.always(CommitOutcome.SILENT);
      put("first");

      // WHEN
      time.pass(Duration.ofMillis(700));

      // THEN
      assertThat(journal.stalledFor()).isGreaterThan(Duration.ofMillis(600));
    }
  }

  @Nested
  class Confirmation {
    @Test
    void should_commit_only_the_head_row_if_nothing_is_written() {
      // WHEN
      journal.whenConfirmed(() -> events.add("confirmed"));
      time.pass(Duration.ofMillis(50));

      // THEN
      assertThat(events).containsExactly("reached true", "confirmed");
    }

    /** Guards against a commit that was sent before a takeover and answered after it. */
    @Test
    void should_not_rely_on_a_commit_that_was_sent_before() {
      // GIVEN
      put("first");
      time.pass(Duration.ofMillis(8));

      // WHEN
      journal.whenConfirmed(() -> events.add("confirmed"));
      time.pass(Duration.ofMillis(4));

      // THEN
      assertThat(stored()).isEqualTo("first");
      assertThat(events).containsExactly("reached true");
      time.pass(Duration.ofMillis(20));
      assertThat(events).containsExactly("reached true", "reached true", "confirmed");
    }

    @Test
    void should_never_confirm_once_another_vm_leads() {
      // GIVEN
      claim("life-2", 2, table.row(Rows.LEADER).orElseThrow().version());

      // WHEN
      journal.whenConfirmed(() -> events.add("confirmed"));
      time.pass(Duration.ofMillis(2000));

      // THEN
      assertThat(events).containsExactly("deposed");
    }
  }
}
