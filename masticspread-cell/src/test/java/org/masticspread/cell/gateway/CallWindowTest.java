package org.masticspread.cell.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.masticspread.cell.testing.VirtualTime;

class CallWindowTest {
  private static final Duration QUICK = Duration.ofMillis(20);
  private static final Duration LATE = Duration.ofMillis(900);

  private final VirtualTime time = new VirtualTime();
  private final CallWindow window = new CallWindow(time);

  private void answers(int calls, Duration took) {
    for (int i = 0; i < calls; i++) {
      window.sent();
      time.pass(took);
      window.answered(took);
    }
  }

  @Test
  void should_grow_while_answers_come_quickly() {
    // WHEN
    answers(50, QUICK);

    // THEN
    assertThat(window.size()).isEqualTo(CallWindow.FIRST + 50);
  }

  @Test
  void should_shrink_while_answers_come_late_and_grow_again() {
    // GIVEN
    answers(100, QUICK);

    // WHEN
    answers(20, LATE);

    // THEN
    assertThat(window.size()).isEqualTo(CallWindow.LEAST);
    answers(100, QUICK);
    assertThat(window.size()).isGreaterThan(100);
  }

  @Test
  void should_count_late_answers_of_one_moment_once() {
    // GIVEN
    answers(92, QUICK);
    for (int i = 0; i < 50; i++) {
      window.sent();
    }

    // WHEN
    for (int i = 0; i < 50; i++) {
      window.answered(LATE);
    }

    // THEN
    assertThat(window.size()).isEqualTo(70);
  }

  @Test
  void should_close_when_as_many_calls_are_open_as_it_allows() {
    // WHEN
    for (int i = 0; i < CallWindow.FIRST; i++) {
      window.sent();
    }

    // THEN
    assertThat(window.open()).isFalse();
    window.abandoned();
    assertThat(window.open()).isTrue();
  }

  @Test
  void should_begin_anew_with_each_leader() {
    // GIVEN
    answers(100, QUICK);

    // WHEN
    window.restart();

    // THEN
    assertThat(window.size()).isEqualTo(CallWindow.FIRST);
  }

  @Test
  void should_expect_a_longer_wait_behind_more_calls() {
    // GIVEN
    answers(20, LATE);

    // THEN
    assertThat(window.waitBehind(8)).isGreaterThan(window.waitBehind(4));
    assertThat(window.waitBehind(4)).isBetween(Duration.ofMillis(500), LATE);
  }
}
