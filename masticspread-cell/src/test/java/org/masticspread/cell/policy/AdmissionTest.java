package org.masticspread.cell.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class AdmissionTest {
  private static final Duration PATH = Duration.ofSeconds(4);
  private static final Duration OBJECTIVE = Duration.ofSeconds(10);

  /** 1000 cores, of which some are free, and work that waits. */
  private static Admission.Decision decide(long freeCores, long waitingCores, long seconds) {
    return Admission.decide(
        new Admission.Facts(
            1_000_000,
            freeCores * 1000,
            waitingCores * 1000,
            waitingCores * seconds * 1000,
            (1000 - freeCores) * 2000,
            72_000,
            PATH,
            OBJECTIVE));
  }

  @Test
  void should_accept_while_there_is_room() {
    // WHEN / THEN
    assertThat(decide(200, 0, 0).accepted()).isTrue();
    assertThat(decide(200, 0, 0).expected()).isEqualTo(PATH);
  }

  @Test
  void should_accept_what_can_wait_for_room() {
    // WHEN / THEN
    assertThat(decide(0, 300, 4).accepted()).isTrue();
  }

  @Test
  void should_refuse_at_once_what_would_be_late_and_tell_when_the_backlog_has_drained() {
    // WHEN
    Admission.Decision decision = decide(0, 3000, 4);

    // THEN
    assertThat(decision.accepted()).isFalse();
    assertThat(decision.retryAfter())
        .isEqualTo(decision.expected().minus(OBJECTIVE))
        .isGreaterThan(Duration.ofSeconds(1));
  }

  @Test
  void should_refuse_when_no_worker_is_usable() {
    // WHEN
    Admission.Decision decision =
        Admission.decide(new Admission.Facts(0, 0, 0, 0, 0, 1000, PATH, OBJECTIVE));

    // THEN
    assertThat(decision.accepted()).isFalse();
    assertThat(decision.retryAfter()).isGreaterThanOrEqualTo(Duration.ofSeconds(1));
  }
}
