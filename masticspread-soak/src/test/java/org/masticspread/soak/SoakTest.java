package org.masticspread.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs short soaks with fixed seeds. Seeds that failed are kept here, with a line on the cause. */
class SoakTest {
  private static final Duration FAULT_TIME = Duration.ofSeconds(8);

  @ParameterizedTest
  @ValueSource(longs = {1})
  void should_violate_no_guarantee(long seed) throws Exception {
    // WHEN / THEN
    assertThat(new Soak(seed, 3, FAULT_TIME).run()).isEmpty();
  }
}
