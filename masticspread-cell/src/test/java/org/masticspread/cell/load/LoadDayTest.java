package org.masticspread.cell.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.masticspread.cell.load.LoadDay.Tally;

/**
 * What callers get on heavy days: bursts of each kind in turn, while gangs need a third of all
 * cores on the workers that the advisor approves.
 */
class LoadDayTest {
  private static LoadDay burstsInTurn(Deployment deployment, long seed) {
    return new LoadDay(deployment, seed)
        .play(Duration.ofSeconds(6), kind -> 1)
        .play(Duration.ofSeconds(4), kind -> kind.queue().equals("checks") ? 2.1 : 1)
        .play(Duration.ofSeconds(6), kind -> kind.queue().equals("batches") ? 2.2 : 1)
        .play(Duration.ofSeconds(4), kind -> kind.queue().equals("layouts") ? 1.6 : 1)
        .play(Duration.ofSeconds(10), kind -> 1)
        .end();
  }

  /**
   * Of a load near the capacity three quarters of the worth must be earned, and of each kind at
   * least two fifths, so that no kind starves for the others.
   */
  private static void assertServed(LoadDay day) {
    assertThat(day.violations()).isEmpty();
    assertThat(day.share()).as("%s", day.tallies()).isGreaterThan(0.75);
    assertThat(day.tallies().values())
        .allSatisfy(tally -> assertThat(tally.share()).as("%s", tally).isGreaterThan(0.4));
  }

  @Nested
  class NearCapacity {
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void should_serve_each_kind_on_many_workers(long seed) {
      assertServed(burstsInTurn(Deployment.large(245, 41, 1), seed));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void should_serve_each_kind_on_few_workers(long seed) {
      assertServed(burstsInTurn(Deployment.small(1), seed));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void should_answer_urgent_work_in_time_whatever_waits_beside_it(long seed) {
      // WHEN
      LoadDay day = burstsInTurn(Deployment.small(1), seed);

      // THEN
      assertThat(day.tallies().get("checks").share()).isGreaterThan(0.9);
    }
  }

  @Nested
  class BeyondCapacity {
    @Test
    void should_refuse_a_part_and_serve_what_is_accepted() {
      // WHEN
      LoadDay day =
          new LoadDay(Deployment.small(2), 1).play(Duration.ofSeconds(25), kind -> 1).end();

      // THEN
      assertThat(day.violations()).isEmpty();
      int refusals = day.tallies().values().stream().mapToInt(tally -> tally.refusals).sum();
      assertThat(refusals).isPositive();
      for (Tally tally : day.tallies().values()) {
        assertThat(tally.neverRan).as("%s", tally).isZero();
      }
    }
  }
}
