package org.masticspread.cell.lead;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticspread.cell.testing.VirtualTime;

class SuspicionTest {
  private final VirtualTime time = new VirtualTime();
  private final Suspicion suspicion = new Suspicion(time);

  private void pass(long millis) {
    time.pass(Duration.ofMillis(millis));
  }

  /** The leader answers some probes, each after a time. */
  private void answers(int probes, long tookMillis) {
    for (int i = 0; i < probes; i++) {
      suspicion.asked();
      pass(tookMillis);
      suspicion.answered(Duration.ofMillis(tookMillis), false);
    }
  }

  @Nested
  class Quick {
    @Test
    void should_suspect_a_leader_soon_that_answered_quickly() {
      // GIVEN
      suspicion.follow();
      answers(20, 5);

      // WHEN
      suspicion.asked();
      pass(700);

      // THEN
      assertThat(suspicion.silent()).isTrue();
    }

    @Test
    void should_not_suspect_a_leader_that_was_not_asked() {
      // GIVEN
      suspicion.follow();

      // WHEN
      pass(60_000);

      // THEN
      assertThat(suspicion.silent()).isFalse();
    }

    @Test
    void should_count_silence_from_the_first_probe_without_answer() {
      // GIVEN
      suspicion.follow();
      suspicion.asked();

      // WHEN
      pass(400);
      suspicion.asked();
      pass(300);

      // THEN
      assertThat(suspicion.silentFor()).isEqualTo(Duration.ofMillis(700));
    }
  }

  @Nested
  class Slow {
    @Test
    void should_wait_for_a_leader_that_was_seen_to_need_time() {
      // GIVEN
      suspicion.follow();
      answers(10, 500);

      // WHEN
      suspicion.asked();
      pass(1000);

      // THEN
      assertThat(suspicion.silent()).isFalse();
    }

    @Test
    void should_never_wait_longer_than_the_longest_time() {
      // GIVEN several changes in a row and a leader that is slower than any that serves
      for (int i = 0; i < 6; i++) {
        suspicion.follow();
        answers(3, 3000);
      }

      // THEN
      assertThat(suspicion.patience()).isEqualTo(Suspicion.LONGEST);
    }
  }

  @Nested
  class ChangesInRow {
    @Test
    void should_wait_longer_with_each_change_of_the_leader() {
      // GIVEN
      suspicion.follow();
      final Duration first = suspicion.patience();

      // WHEN
      pass(2000);
      suspicion.follow();
      final Duration second = suspicion.patience();
      pass(2000);
      suspicion.follow();

      // THEN
      assertThat(second).isEqualTo(first.multipliedBy(2));
      assertThat(suspicion.patience()).isEqualTo(first.multipliedBy(4));
    }

    @Test
    void should_forget_changes_of_long_ago() {
      // GIVEN
      suspicion.follow();
      final Duration first = suspicion.patience();
      pass(2000);
      suspicion.follow();

      // WHEN
      pass(15_000);
      suspicion.follow();

      // THEN
      assertThat(suspicion.patience()).isEqualTo(first);
    }
  }
}
