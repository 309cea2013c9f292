package org.masticspread.cell.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.masticspread.cell.testing.VirtualTime;

class CallWindowTest {
  private static final Duration QUICK_LATENCY = Duration.ofMillis(20);
  private static final Duration LATE_LATENCY = Duration.ofMillis(900);

  private final VirtualTime time = new VirtualTime();
  private final CallWindow window = new CallWindow(time);

  private void answerCalls(int calls, Duration latency) {
    for (int i = 0; i < calls; i++) {
      window.sent();
      time.pass(latency);
      window.answered(latency);
    }
  }

  @Test
  void should_grow_while_answers_come_quickly() {
    // WHEN
    answerCalls(50, QUICK_LATENCY);

    // THEN
    assertThat(window.size()).isEqualTo(CallWindow.INITIAL_SIZE + 50);
  }

  @Test
  void should_shrink_while_answers_come_late_and_grow_again() {
    // GIVEN
    answerCalls(100, QUICK_LATENCY);

    // WHEN
    answerCalls(20, LATE_LATENCY);

    // THEN
    assertThat(window.size()).isEqualTo(CallWindow.MIN_SIZE);
    answerCalls(100, QUICK_LATENCY);
    assertThat(window.size()).isGreaterThan(100);
  }

  @Test
  void should_count_a_burst_of_late_answers_once() {
    // GIVEN
    answerCalls(92, QUICK_LATENCY);
    for (int i = 0; i < 50; i++) {
      window.sent();
    }

    // WHEN
    for (int i = 0; i < 50; i++) {
      window.answered(LATE_LATENCY);
    }

    // THEN
    assertThat(window.size()).isEqualTo(70);
  }

  @Test
  void should_close_when_it_is_full() {
    // WHEN
    for (int i = 0; i < CallWindow.INITIAL_SIZE; i++) {
      window.sent();
    }

    // THEN
    assertThat(window.isOpen()).isFalse();
    window.abandoned();
    assertThat(window.isOpen()).isTrue();
  }

  @Test
  void should_reset_its_size_with_each_leader() {
    // GIVEN
    answerCalls(100, QUICK_LATENCY);

    // WHEN
    window.reset();

    // THEN
    assertThat(window.size()).isEqualTo(CallWindow.INITIAL_SIZE);
  }

  @Test
  void should_expect_a_longer_wait_behind_more_calls() {
    // GIVEN
    answerCalls(20, LATE_LATENCY);

    // THEN
    assertThat(window.expectedWait(8)).isGreaterThan(window.expectedWait(4));
    assertThat(window.expectedWait(4)).isBetween(Duration.ofMillis(500), LATE_LATENCY);
  }
}
