package org.masticspread.cell.lead;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticspread.cell.lead.StoreCheck.Outcome;
import org.masticspread.cell.testing.VirtualTime;

class StoreFailureDetectorTest {
  private final VirtualTime time = new VirtualTime();
  private final StoreFailureDetector detector = new StoreFailureDetector(time);

  /** Lets checks fail one after another for a time span. */
  private void failChecks(Outcome outcome, Duration span) {
    long until = time.millis() + span.toMillis();
    while (time.millis() < until) {
      long sent = time.millis();
      time.pass(Duration.ofMillis(100));
      detector.checkEnded(sent, outcome);
    }
  }

  @Nested
  class Lost {
    @Test
    void should_be_lost_after_unanswered_checks() {
      // WHEN
      failChecks(Outcome.UNANSWERED, StoreFailureDetector.UNANSWERED_TIMEOUT);

      // THEN
      assertThat(detector.lost(0)).isTrue();
    }

    @Test
    void should_be_lost_sooner_after_refusals() {
      // WHEN
      failChecks(Outcome.REFUSED, StoreFailureDetector.REFUSED_TIMEOUT);

      // THEN
      assertThat(detector.lost(0)).isTrue();
    }
  }

  @Nested
  class Reached {
    @Test
    void should_not_be_lost_before_any_check() {
      // WHEN
      time.pass(Duration.ofMinutes(1));

      // THEN
      assertThat(detector.lost(0)).isFalse();
    }

    @Test
    void should_not_be_lost_when_one_check_was_answered() {
      // GIVEN
      failChecks(Outcome.UNANSWERED, Duration.ofMillis(300));

      // WHEN
      detector.checkEnded(time.millis() - 50, Outcome.REACHED);
      failChecks(Outcome.UNANSWERED, Duration.ofMillis(300));

      // THEN
      assertThat(detector.lost(0)).isFalse();
    }

    @Test
    void should_ignore_a_failed_check_sent_before_the_latest_answer() {
      // GIVEN
      final long sent = time.millis();
      time.pass(Duration.ofMillis(100));
      detector.storeReached();

      // WHEN
      detector.checkEnded(sent, Outcome.UNANSWERED);
      time.pass(Duration.ofSeconds(10));

      // THEN
      assertThat(detector.lost(0)).isFalse();
    }
  }

  @Nested
  class ConsecutiveChanges {
    @Test
    void should_double_the_timeout_with_each_change_of_the_leader() {
      // WHEN
      failChecks(Outcome.UNANSWERED, StoreFailureDetector.UNANSWERED_TIMEOUT.multipliedBy(2));

      // THEN
      assertThat(detector.lost(1)).isTrue();
      assertThat(detector.lost(2)).isFalse();
    }
  }
}
