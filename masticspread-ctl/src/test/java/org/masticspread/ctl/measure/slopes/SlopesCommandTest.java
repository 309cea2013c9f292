package org.masticspread.ctl.measure.slopes;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SlopesCommandTest {
  private static final List<SlopeRow> FIRST_RUN = SlopesCommand.report(1, true).rows();

  private static Map<String, SlopeRow> exact(List<SlopeRow> rows) {
    return rows.stream().filter(SlopeRow::exact).collect(Collectors.toMap(SlopeRow::slope, r -> r));
  }

  @Test
  void should_have_a_value_for_each_of_three_or_more_sizes_in_each_row() {
    assertThat(FIRST_RUN).extracting(r -> r.slope() + r.unit()).doesNotHaveDuplicates();
    assertThat(FIRST_RUN)
        .allSatisfy(
            row -> {
              assertThat(row.sizes()).doesNotHaveDuplicates().hasSizeGreaterThanOrEqualTo(3);
              assertThat(row.values()).hasSameSizeAs(row.sizes()).allMatch(value -> value > 0);
              assertThat(row.perUnit()).isFinite();
              assertThat(row.largestResidual()).isFinite().isNotNegative();
            });
  }

  @Test
  void should_repeat_the_exact_rows_on_another_run() {
    // WHEN
    List<SlopeRow> second = SlopesCommand.report(1, true).rows();
    // THEN
    assertThat(second)
        .extracting(SlopeRow::slope)
        .isEqualTo(FIRST_RUN.stream().map(SlopeRow::slope).toList());
    assertThat(exact(second)).hasSizeGreaterThan(15).isEqualTo(exact(FIRST_RUN));
  }

  @ParameterizedTest
  @CsvSource({
    "heap per running task",
    "heap per waiting task",
    "heap per remembered request",
    "heap per kept job",
    "journal bytes per accepted job",
    "bytes of Digest",
    "bytes of PlaceTasks"
  })
  void should_grow_with_the_size(String prefix) {
    assertThat(FIRST_RUN)
        .filteredOn(row -> row.slope().startsWith(prefix))
        .isNotEmpty()
        .allSatisfy(row -> assertThat(row.values()).isSorted())
        .allSatisfy(row -> assertThat(row.perUnit()).isPositive());
  }

  @Test
  void should_fit_a_line_by_least_squares() {
    // WHEN
    LinearFit fit = LinearFit.of(List.of(1L, 2L, 3L, 4L), List.of(6.0, 5.0, 7.0, 10.0));
    // THEN
    assertThat(fit.slope()).isEqualTo(1.4, within(1e-9));
    assertThat(fit.intercept()).isEqualTo(3.5, within(1e-9));
    assertThat(fit.largestResidual()).isEqualTo(1.3, within(1e-9));
    assertThat(fit.r2()).isEqualTo(0.7, within(1e-9));
  }

  @Test
  void should_refuse_fewer_than_three_sizes() {
    assertThatThrownBy(() -> LinearFit.of(List.of(1L, 1L, 2L), List.of(1.0, 1.0, 2.0)))
        .isInstanceOf(IllegalArgumentException.class);
  }
}
