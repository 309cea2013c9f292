package org.masticspread.cell.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class UrgentCallReserveTest {
  private static final Duration CALL = Duration.ofMillis(25);

  private final UrgentCallReserve reserve = new UrgentCallReserve();

  /** Records urgent calls at a rate for some seconds and returns the time of the last one. */
  private long recordCalls(int perSecond, int seconds) {
    long now = 0;
    for (int i = 0; i < perSecond * seconds; i++) {
      now = i * 1000L / perSecond;
      reserve.recordUrgentCall(CALL, now);
    }
    return now;
  }

  @Test
  void should_reserve_none_without_urgent_calls() {
    // THEN
    assertThat(reserve.reservedVms(30, 1000)).isZero();
  }

  @Test
  void should_reserve_more_than_the_measured_demand() {
    // GIVEN
    long now = recordCalls(80, 5);

    // THEN
    assertThat(reserve.reservedVms(47, now)).isBetween(4, 6);
  }

  @Test
  void should_leave_a_vm_for_long_calls() {
    // GIVEN
    long now = recordCalls(200, 5);

    // THEN
    assertThat(reserve.reservedVms(3, now)).isEqualTo(2);
    assertThat(reserve.reservedVms(1, now)).isZero();
  }

  @Test
  void should_release_the_reserve_when_the_demand_ends() {
    // GIVEN
    long now = recordCalls(80, 5);

    // THEN
    assertThat(reserve.reservedVms(47, now + 20_000)).isZero();
  }
}
