package org.masticspread.cell.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class SheddingTest {
  private final Shedding shedding = new Shedding();
  private final OwnDelay delay = new OwnDelay();

  private long admitted(long delayMillis, boolean gang) {
    return IntStream.range(0, 1000)
        .filter(i -> shedding.admits("checks", Duration.ofMillis(delayMillis), gang))
        .count();
  }

  @Test
  void should_refuse_nothing_while_the_leader_keeps_up() {
    // THEN
    assertThat(admitted(20, false)).isEqualTo(1000);
  }

  @Test
  void should_refuse_more_the_further_the_leader_is_behind() {
    // THEN
    assertThat(admitted(150, false)).isBetween(600L, 900L);
    assertThat(admitted(250, false)).isBetween(300L, 600L);
    assertThat(admitted(5000, false)).isBetween(90L, 110L);
  }

  @Test
  void should_refuse_gangs_last() {
    // THEN
    assertThat(admitted(5000, true)).isBetween(540L, 560L);
  }

  @Test
  void should_recover_as_soon_as_the_delay_falls() {
    // GIVEN
    admitted(5000, false);

    // THEN
    assertThat(admitted(20, false)).isEqualTo(1000);
  }

  @Test
  void should_forget_a_delay_without_answers() {
    // GIVEN
    for (int i = 0; i < 100; i++) {
      delay.noted(Duration.ofMillis(400), 1000 + i);
    }

    // THEN
    assertThat(delay.at(1100)).isGreaterThan(Duration.ofMillis(370));
    assertThat(delay.at(5100)).isLessThan(Duration.ofMillis(30));
  }
}
