package org.masticspread.ctl.measure.cell;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.masticspread.node.trial.TrialFault;

/** The targets of the measures, where a run with one seed gives the same figures. */
class CellMeasuresTest {
  private static final long SEED = 1;

  @ParameterizedTest
  @CsvSource({
    "3, VM_KILLED",
    "3, VM_PAUSED",
    "3, VM_RESTARTED",
    "3, VM_STOPPED",
    "9, VM_KILLED",
    "9, VM_RESTARTED"
  })
  void should_serve_again_within_ten_seconds_and_lose_nothing(int vms, TrialFault fault) {
    // WHEN
    RecoveryRow row = RecoveryMeasure.of(SEED).row(vms, fault);
    // THEN
    assertThat(row.servingAgainMs()).isBetween(0L, 10_000L);
    assertThat(row.lost()).isZero();
    assertThat(row.doubled()).isZero();
  }

  @Test
  void should_put_a_configuration_in_force_within_two_seconds() {
    // WHEN
    var rows = ConfigMeasure.of(SEED).report().rows();
    // THEN
    assertThat(rows).hasSize(4);
    assertThat(rows).allMatch(r -> r.inForceEverywhereMs() <= 2_000 && r.reverted() == 0);
  }

  @ParameterizedTest
  @ValueSource(ints = {3, 6, 9, 18})
  void should_write_less_than_300_times_a_second(int vms) {
    // WHEN
    ControlMeasure measure = ControlMeasure.of(SEED);
    // THEN
    assertThat(measure.idle(vms).storeWritesPerSecond()).isLessThan(300);
    assertThat(measure.load(vms).storeWritesPerSecond()).isLessThan(300);
  }

  @Test
  void should_stay_under_the_bytes_of_idle_control_with_nine_vms() {
    // WHEN
    ControlRow row = ControlMeasure.of(SEED).idle(9);
    // THEN
    assertThat(row.bytesPerSecondPerVm()).isBetween(1.0, 22_000.0);
  }
}
