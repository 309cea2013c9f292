package org.masticspread.model.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RecurrenceTest {
  private static final Instant FIRST = Instant.parse("2026-12-05T10:00:00Z");

  @Test
  void should_be_due_at_regular_intervals() {
    // GIVEN
    Recurrence recurrence = new Recurrence(3, FIRST, Duration.ofMinutes(5));

    // WHEN / THEN
    assertThat(recurrence.due(0)).isEqualTo(FIRST);
    assertThat(recurrence.due(2)).isEqualTo(FIRST.plus(Duration.ofMinutes(10)));
  }

  /** Guards against stored times whose sum is out of range and stops whoever computes it. */
  @ParameterizedTest
  @ValueSource(longs = {Long.MIN_VALUE, -9_000_000_000_000_000_000L, Long.MAX_VALUE})
  void should_be_due_between_1970_and_9999_for_any_interval(long intervalMillis) {
    // GIVEN
    Recurrence recurrence =
        new Recurrence(Integer.MAX_VALUE, FIRST, Duration.ofMillis(intervalMillis));

    // WHEN / THEN
    for (int occurrence : new int[] {1, 9, 1_000_000, Integer.MAX_VALUE}) {
      assertThat(recurrence.due(occurrence))
          .isBetween(Instant.EPOCH, Instant.parse("9999-12-31T00:00:00Z"));
    }
  }
}
