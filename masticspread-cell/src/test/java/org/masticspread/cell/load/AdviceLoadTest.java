package org.masticspread.cell.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.masticspread.cell.engine.PriorityAdviceDispatcher;
import org.masticspread.cell.testing.CellFixture.DispatcherFactory;

/**
 * Urgent work beside a burst of gangs, whose questions use up the advisor.
 *
 * <p>Answers the quiet days of the users' grown and large sites: a check's call of 24 ms waited 190
 * to 670 ms behind calls of gangs, and a third of the checks were late for it.
 */
class AdviceLoadTest {
  private static final int SEEDS = 3;

  private static LoadDay burstOfGangs(
      Deployment deployment, long seed, DispatcherFactory dispatchers) {
    return new LoadDay(deployment, seed, dispatchers)
        .play(Duration.ofSeconds(8), kind -> 1)
        .play(Duration.ofSeconds(4), kind -> kind.queue().equals("layouts") ? 1.8 : 1)
        .play(Duration.ofSeconds(6), kind -> 1)
        .end();
  }

  private static List<LoadDay> days(Deployment deployment, DispatcherFactory dispatchers) {
    return LongStream.rangeClosed(1, SEEDS)
        .mapToObj(seed -> burstOfGangs(deployment, seed, dispatchers))
        .toList();
  }

  private static long p90(List<Long> waits) {
    return waits.get(waits.size() * 9 / 10);
  }

  private static double share(List<LoadDay> days, String queue) {
    return days.stream()
        .mapToDouble(day -> day.tallies().get(queue).share())
        .average()
        .orElseThrow();
  }

  @Nested
  class BurstOfGangs {
    @ParameterizedTest
    @CsvSource({"85, 18, 0.31", "245, 30, 0.95", "260, 47, 1"})
    void should_ask_for_urgent_work_at_once(int workers, int vms, double share) {
      // GIVEN
      Deployment deployment = Deployment.site(workers, vms, share);

      // WHEN
      List<LoadDay> before =
          days(deployment, (advisor, names, time) -> new FirstFreeDesk(advisor, () -> names, time));
      List<LoadDay> now =
          days(
              deployment,
              (advisor, names, time) -> new PriorityAdviceDispatcher(advisor, () -> names, time));

      // THEN
      assertThat(now).allSatisfy(day -> assertThat(p90(day.adviceWaits(0))).isLessThan(60));
      assertThat(share(now, "checks")).isGreaterThan(share(before, "checks") - 0.03);
      assertThat(share(now, "layouts")).isGreaterThan(share(before, "layouts") - 0.03);
    }
  }
}
