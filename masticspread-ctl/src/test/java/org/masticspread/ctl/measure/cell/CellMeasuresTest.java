package org.masticspread.ctl.measure.cell;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.masticspread.node.trial.TrialFault;

/** The targets of those measures that give the same figures for the same seed. */
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
  void should_recover_within_ten_seconds_without_losing_work(int vms, TrialFault fault) {
    // WHEN
    RecoveryRow row = RecoveryMeasure.of(SEED).row(vms, fault);
    // THEN
    assertThat(row.servingAgainMs()).isBetween(0L, 10_000L);
    assertThat(row.lost()).isZero();
    assertThat(row.doubled()).isZero();
  }

  @Test
  void should_apply_a_configuration_on_all_vms_within_two_seconds() {
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
  void should_keep_the_idle_control_traffic_of_nine_vms_below_the_limit() {
    // WHEN
    ControlRow row = ControlMeasure.of(SEED).idle(9);
    // THEN
    assertThat(row.bytesPerSecondPerVm()).isBetween(1.0, 22_000.0);
  }
}
