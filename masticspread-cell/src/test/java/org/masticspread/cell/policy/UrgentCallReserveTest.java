package org.masticspread.cell.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class UrgentCallReserveTest {
  private static final Duration CALL = Duration.ofMillis(25);

  private final UrgentCallReserve urgentReserve = new UrgentCallReserve();

  /** Urgent calls at a rate for some seconds; returns the moment after them. */
  private long calls(int perSecond, int seconds) {
    long now = 0;
    for (int i = 0; i < perSecond * seconds; i++) {
      now = i * 1000L / perSecond;
      urgentReserve.recordUrgentCall(CALL, now);
    }
    return now;
  }

  @Test
  void should_keep_none_while_nothing_is_urgent() {
    // THEN
    assertThat(urgentReserve.reservedVms(30, 1000)).isZero();
  }

  @Test
  void should_keep_more_than_the_measured_demand() {
    // GIVEN
    long now = calls(80, 5);

    // THEN
    assertThat(urgentReserve.reservedVms(47, now)).isBetween(4, 6);
  }

  @Test
  void should_leave_a_vm_to_long_calls() {
    // GIVEN
    long now = calls(200, 5);

    // THEN
    assertThat(urgentReserve.reservedVms(3, now)).isEqualTo(2);
    assertThat(urgentReserve.reservedVms(1, now)).isZero();
  }

  @Test
  void should_give_lanes_back_when_the_demand_is_over() {
    // GIVEN
    long now = calls(80, 5);

    // THEN
    assertThat(urgentReserve.reservedVms(47, now + 20_000)).isZero();
  }
}
