package org.masticspread.cell.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.masticspread.cell.testing.VirtualTime;

class AdaptiveTimeoutTest {
  private static final Duration BASE_TIMEOUT = Duration.ofMillis(500);

  private final VirtualTime time = new VirtualTime();
  private final AdaptiveTimeout adaptiveTimeout = new AdaptiveTimeout(time);

  @Test
  void should_hardly_extend_the_timeout_while_answers_are_fast() {
    // WHEN
    for (int i = 0; i < 50; i++) {
      adaptiveTimeout.recordAnswer(Duration.ofMillis(5));
    }

    // THEN
    assertThat(adaptiveTimeout.extend(BASE_TIMEOUT)).isLessThan(Duration.ofMillis(525));
  }

  @Test
  void should_extend_the_timeout_by_at_most_the_maximum_while_answers_are_slow() {
    // WHEN
    for (int i = 0; i < 100; i++) {
      adaptiveTimeout.recordAnswer(Duration.ofMillis(3000));
    }

    // THEN
    assertThat(adaptiveTimeout.extend(BASE_TIMEOUT)).isEqualTo(Duration.ofMillis(1400));
  }
}
