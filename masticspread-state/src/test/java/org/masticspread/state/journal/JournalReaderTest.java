package org.masticspread.state.journal;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.masticspread.model.work.Payload;
import org.masticspread.state.format.RecordFormatException;
import org.masticspread.state.format.RecordFormatException.Problem;
import org.masticspread.state.format.StateKeys;

class JournalReaderTest extends JournalFixture {
  @Nested
  class Read {
    @BeforeEach
    void write() {
      for (String job : List.of("a", "b", "c")) {
        queue(job);
        journal.flush();
      }
    }

    @ParameterizedTest
    @CsvSource({"TORN", "FOREIGN", "NEWER_VERSION", "MISSING"})
    void should_report_the_key_of_a_bad_row(Problem problem) throws Exception {
      // GIVEN
      String key = StateKeys.journal(self, 2);
      byte[] bytes = table.read(key).orElseThrow().value().bytes().clone();
      switch (problem) {
        case TORN -> bytes[bytes.length - 1]++;
        case FOREIGN ->
            bytes = table.read(StateKeys.journal(self, 1)).orElseThrow().value().bytes();
        case NEWER_VERSION -> bytes[3]++;
        default -> table.remove(key);
      }
      if (problem != Problem.MISSING) {
        table.overwrite(key, new Payload(bytes));
      }
      // WHEN // THEN
      assertThatThrownBy(() -> new JournalReader(table).read(self, 1))
          .isInstanceOfSatisfying(
              RecordFormatException.class,
              e -> assertThat(e.problem() + e.name()).isEqualTo(problem + key));
    }

    @Test
    void should_return_nothing_past_the_end() throws Exception {
      // GIVEN // WHEN // THEN
      assertThat(new JournalReader(table).read(self, 4)).isEmpty();
    }

    @Test
    void should_trim_only_rows_below_the_position() throws Exception {
      // GIVEN // WHEN
      boolean done = journal.trim(3);
      // THEN
      assertThat(done).isTrue();
      assertThat(table.keys("journal/")).containsExactly(StateKeys.journal(self, 3));
      assertThat(new JournalReader(table).read(self, 3)).hasSize(1);
    }
  }
}
