package org.masticspread.cell.lead;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticspread.cell.lead.StoreCheck.Outcome;
import org.masticspread.cell.testing.VirtualTime;

class StoreDoubtTest {
  private final VirtualTime time = new VirtualTime();
  private final StoreDoubt doubt = new StoreDoubt(time);

  /** Checks fail, one after the other. */
  private void fail(Outcome outcome, Duration span) {
    long until = time.millis() + span.toMillis();
    while (time.millis() < until) {
      long sent = time.millis();
      time.pass(Duration.ofMillis(100));
      doubt.checked(sent, outcome);
    }
  }

  @Nested
  class Lost {
    @Test
    void should_be_lost_after_checks_without_an_answer() {
      // WHEN
      fail(Outcome.UNANSWERED, StoreDoubt.UNANSWERED);

      // THEN
      assertThat(doubt.lost(0)).isTrue();
    }

    @Test
    void should_be_lost_sooner_after_refusals() {
      // WHEN
      fail(Outcome.REFUSED, StoreDoubt.REFUSED);

      // THEN
      assertThat(doubt.lost(0)).isTrue();
    }
  }

  @Nested
  class Reached {
    @Test
    void should_not_be_lost_before_any_check() {
      // WHEN
      time.pass(Duration.ofMinutes(1));

      // THEN
      assertThat(doubt.lost(0)).isFalse();
    }

    @Test
    void should_not_be_lost_when_one_check_was_answered() {
      // GIVEN
      fail(Outcome.UNANSWERED, Duration.ofMillis(300));

      // WHEN
      doubt.checked(time.millis() - 50, Outcome.REACHED);
      fail(Outcome.UNANSWERED, Duration.ofMillis(300));

      // THEN
      assertThat(doubt.lost(0)).isFalse();
    }

    @Test
    void should_ignore_a_check_that_was_sent_before_an_answer_came() {
      // GIVEN
      final long sent = time.millis();
      time.pass(Duration.ofMillis(100));
      doubt.reached();

      // WHEN
      doubt.checked(sent, Outcome.UNANSWERED);
      time.pass(Duration.ofSeconds(10));

      // THEN
      assertThat(doubt.lost(0)).isFalse();
    }
  }

  @Nested
  class ChangesInRow {
    @Test
    void should_wait_twice_as_long_with_each_change_of_the_leader() {
      // WHEN
      fail(Outcome.UNANSWERED, StoreDoubt.UNANSWERED.multipliedBy(2));

      // THEN
      assertThat(doubt.lost(1)).isTrue();
      assertThat(doubt.lost(2)).isFalse();
    }
  }
}
