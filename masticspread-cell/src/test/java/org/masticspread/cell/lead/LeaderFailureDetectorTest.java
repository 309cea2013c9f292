package org.masticspread.cell.lead;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticspread.cell.testing.VirtualTime;

class LeaderFailureDetectorTest {
  private final VirtualTime time = new VirtualTime();
  private final LeaderFailureDetector detector = new LeaderFailureDetector(time);

  private void pass(long millis) {
    time.pass(Duration.ofMillis(millis));
  }

  /** Lets the leader answer a number of probes, each with the given latency. */
  private void answerProbes(int probes, long latencyMillis) {
    for (int i = 0; i < probes; i++) {
      detector.probeSent();
      pass(latencyMillis);
      detector.probeAnswered(Duration.ofMillis(latencyMillis), false);
    }
  }

  @Nested
  class QuickLeader {
    @Test
    void should_soon_suspect_a_leader_that_answered_quickly() {
      // GIVEN
      detector.leaderChanged();
      answerProbes(20, 5);

      // WHEN
      detector.probeSent();
      pass(700);

      // THEN
      assertThat(detector.timedOut()).isTrue();
    }

    @Test
    void should_not_suspect_a_leader_that_was_not_probed() {
      // GIVEN
      detector.leaderChanged();

      // WHEN
      pass(60_000);

      // THEN
      assertThat(detector.timedOut()).isFalse();
    }

    @Test
    void should_measure_silence_from_the_first_unanswered_probe() {
      // GIVEN
      detector.leaderChanged();
      detector.probeSent();

      // WHEN
      pass(400);
      detector.probeSent();
      pass(300);

      // THEN
      assertThat(detector.silentFor()).isEqualTo(Duration.ofMillis(700));
    }
  }

  @Nested
  class SlowLeader {
    @Test
    void should_wait_longer_for_a_leader_that_answered_slowly() {
      // GIVEN
      detector.leaderChanged();
      answerProbes(10, 500);

      // WHEN
      detector.probeSent();
      pass(1000);

      // THEN
      assertThat(detector.timedOut()).isFalse();
    }

    @Test
    void should_never_wait_longer_than_the_maximum_timeout() {
      // GIVEN several consecutive changes and a leader that answers extremely slowly
      for (int i = 0; i < 6; i++) {
        detector.leaderChanged();
        answerProbes(3, 3000);
      }

      // THEN
      assertThat(detector.timeout()).isEqualTo(LeaderFailureDetector.MAX_TIMEOUT);
    }
  }

  @Nested
  class ConsecutiveChanges {
    @Test
    void should_wait_longer_with_each_change_of_the_leader() {
      // GIVEN
      detector.leaderChanged();
      final Duration first = detector.timeout();

      // WHEN
      pass(2000);
      detector.leaderChanged();
      final Duration second = detector.timeout();
      pass(2000);
      detector.leaderChanged();

      // THEN
      assertThat(second).isEqualTo(first.multipliedBy(2));
      assertThat(detector.timeout()).isEqualTo(first.multipliedBy(4));
    }

    @Test
    void should_forget_changes_after_a_while() {
      // GIVEN
      detector.leaderChanged();
      final Duration first = detector.timeout();
      pass(2000);
      detector.leaderChanged();

      // WHEN
      pass(15_000);
      detector.leaderChanged();

      // THEN
      assertThat(detector.timeout()).isEqualTo(first);
    }
  }
}
