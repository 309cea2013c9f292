package org.masticspread.state.shard;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class AttemptNumbersTest {
  @Property(seed = "31")
  void should_increase_within_an_epoch_and_across_epochs(
      @ForAll @IntRange(min = 1, max = 524_286) int epoch,
      @ForAll @IntRange(min = 1, max = 4_094) int count) {
    // GIVEN
    int last = (epoch << 12) | count;
    // WHEN // THEN
    assertThat(AttemptNumbers.next(epoch, last)).isEqualTo(last + 1);
    assertThat(AttemptNumbers.next(epoch + 1, last)).isGreaterThan((epoch << 12) | 4_095);
    assertThat(AttemptNumbers.epochOf(last)).isEqualTo(epoch);
  }

  @ParameterizedTest
  @CsvSource({"0, 0", "524288, 0", "1, 8191"})
  void should_reject_numbers_out_of_range(long epoch, int last) {
    // GIVEN // WHEN // THEN
    assertThatThrownBy(() -> AttemptNumbers.next(epoch, last))
        .isInstanceOf(ArithmeticException.class);
  }
}
