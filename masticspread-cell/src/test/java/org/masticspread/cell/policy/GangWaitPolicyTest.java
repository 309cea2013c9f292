package org.masticspread.cell.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

/** Tests which gangs wait for faster workers, and for how long in total. */
class GangWaitPolicyTest {
  private static final long NOW = 100_000;

  private static GangPlan plan(long startsIn, long runs) {
    return new GangPlan(NOW + startsIn, NOW + startsIn + runs, List.of());
  }

  @Test
  void should_wait_for_workers_that_are_free_soon_and_much_faster() {
    assertThat(GangWaitPolicy.shouldWait(plan(0, 10_000), plan(500, 5_000), 0)).isTrue();
  }

  @Test
  void should_not_wait_longer_than_it_saves() {
    assertThat(GangWaitPolicy.shouldWait(plan(0, 10_000), plan(500, 9_700), 0)).isFalse();
  }

  @Test
  void should_not_wait_repeatedly_for_a_plan_that_is_postponed() {
    assertThat(GangWaitPolicy.shouldWait(plan(0, 30_000), plan(400, 10_000), 1_500)).isFalse();
  }

  @Property(seed = "20261206")
  void should_start_within_three_seconds_of_the_first_possible_start(
      @ForAll @LongRange(min = 1, max = 60_000) long runsNow,
      @ForAll @LongRange(min = 1, max = 60_000) long startsIn,
      @ForAll @LongRange(min = 1, max = 60_000) long runsLater) {
    assertThat(GangWaitPolicy.shouldWait(plan(0, runsNow), plan(startsIn, runsLater), 2_900))
        .isFalse();
  }
}
