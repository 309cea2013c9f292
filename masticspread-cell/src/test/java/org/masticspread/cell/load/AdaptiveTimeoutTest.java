package org.masticspread.cell.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.masticspread.cell.testing.VirtualTime;

class AdaptiveTimeoutTest {
  private static final Duration USUAL = Duration.ofMillis(500);

  private final VirtualTime time = new VirtualTime();
  private final AdaptiveTimeout adaptiveTimeout = new AdaptiveTimeout(time);

  @Test
  void should_wait_as_usual_while_answers_come_at_once() {
    // WHEN
    for (int i = 0; i < 50; i++) {
      adaptiveTimeout.recordAnswer(Duration.ofMillis(5));
    }

    // THEN
    assertThat(adaptiveTimeout.extend(USUAL)).isLessThan(Duration.ofMillis(525));
  }

  @Test
  void should_wait_longer_while_the_vm_is_behind_but_never_as_long_as_a_lease() {
    // WHEN
    for (int i = 0; i < 100; i++) {
      adaptiveTimeout.recordAnswer(Duration.ofMillis(3000));
    }

    // THEN
    assertThat(adaptiveTimeout.extend(USUAL)).isEqualTo(Duration.ofMillis(1400));
  }
}
