package org.masticspread.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Short seeded runs. Each seed that ever failed stays here, with a line on its cause. */
class SoakTest {
  private static final Duration TIME = Duration.ofSeconds(8);

  @ParameterizedTest
  @ValueSource(longs = {1})
  void should_keep_the_promises(long seed) throws Exception {
    // WHEN / THEN
    assertThat(new Soak(seed, 3, TIME).run()).isEmpty();
  }
}
