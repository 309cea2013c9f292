package org.masticspread.state.journal;

import static org.assertj.core.api.Assertions.assertThat;
import static org.masticspread.state.session.SessionState.FENCED;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.masticspread.model.platform.ConditionFailedException;
import org.masticspread.model.platform.Row;
import org.masticspread.model.platform.StoreException;
import org.masticspread.model.platform.TableService;
import org.masticspread.model.platform.Transaction;
import org.masticspread.model.result.ResultCode;
import org.masticspread.state.session.FenceRow;
import org.masticspread.state.session.SessionState;
import org.masticspread.state.testing.Fault;

class JournalFencedTest extends JournalFixture {
  @Nested
  class Fenced {
    @ParameterizedTest
    @CsvSource({
      "NONE, FENCED, true, NOT_OWNER",
      "ERROR_BEFORE, FENCED, true, NOT_OWNER",
      "ERROR_BEFORE, COLLECTED, false, OUTCOME_UNKNOWN",
      "ERROR_AFTER, FENCED, , ",
      "LATE_EFFECT, FENCED, true, NOT_OWNER"
    })
    void should_report_whether_the_record_was_not_written(
        Fault fault, SessionState state, Boolean notWritten, ResultCode code) throws Exception {
      // GIVEN
      final CompletableFuture<Void> result = append("a", Duration.ofHours(1));
      if (fault != Fault.NONE) {
        table.failCommits("journal/", fault);
        journal.flush();
      }
      fence(state);
      // WHEN
      for (int i = 0; i < 4; i++) {
        flushLater();
      }
      // THEN
      AppendException error = errorOf(result);
      assertThat(error == null ? null : error.isNotWritten()).isEqualTo(notWritten);
      assertThat(error == null ? null : error.code()).isEqualTo(code);
      assertThat(stored().isEmpty()).isEqualTo(error != null);
      assertThat(table.fencedWrites()).isEmpty();
      if (error != null) {
        assertThat(errorOf(append("b"))).isInstanceOf(FencedException.class);
      }
    }

    @Test
    void should_find_a_row_written_just_before_the_fence() throws Exception {
      // GIVEN
      journal = journal(JournalSettings.DEFAULT, new FencedBeforeCommit());
      final CompletableFuture<Void> result = append("a", Duration.ofHours(1));
      table.failCommits("journal/", Fault.LATE_EFFECT);
      journal.flush();
      // WHEN
      flushLater();
      // THEN
      assertThat(stored()).containsExactly("a");
      assertThat(errorOf(result)).isNull();
      assertThat(journal.isFenced()).isTrue();
    }

    /** Applies the row in doubt and fences the incarnation immediately before the second commit. */
    private final class FencedBeforeCommit implements TableService {
      private int commits;

      @Override
      public Optional<Row> read(String key) throws StoreException {
        return table.read(key);
      }

      @Override
      public List<Row> scan(String prefix, String after, int limit) throws StoreException {
        return table.scan(prefix, after, limit);
      }

      @Override
      public void commit(Transaction transaction) throws StoreException, ConditionFailedException {
        commits++;
        if (commits == 2) {
          table.scan("x", "", 1);
          table.commit(new Transaction(List.of(), List.of(FenceRow.write(self, FENCED))));
        }
        table.commit(transaction);
      }
    }
  }
}
