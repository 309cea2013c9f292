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
 * Urgent jobs during a burst of gangs, whose calls saturate the advisor.
 *
 * <p>Guards against a failure on quiet days of the users' grown and large sites: calls for checks,
 * which take 24 ms, waited 190 to 670 ms behind calls for gangs, which made a third of the checks
 * late.
 */
class AdviceLoadTest {
  private static final int SEEDS = 3;

  private static LoadSimulation burstOfGangs(
      Deployment deployment, long seed, DispatcherFactory dispatchers) {
    return new LoadSimulation(deployment, seed, dispatchers)
        .run(Duration.ofSeconds(8), kind -> 1)
        .run(Duration.ofSeconds(4), kind -> kind.queue().equals("layouts") ? 1.8 : 1)
        .run(Duration.ofSeconds(6), kind -> 1)
        .end();
  }

  private static List<LoadSimulation> simulations(
      Deployment deployment, DispatcherFactory dispatchers) {
    return LongStream.rangeClosed(1, SEEDS)
        .mapToObj(seed -> burstOfGangs(deployment, seed, dispatchers))
        .toList();
  }

  private static long p90(List<Long> waits) {
    return waits.get(waits.size() * 9 / 10);
  }

  private static double averageShare(List<LoadSimulation> simulations, String queue) {
    return simulations.stream()
        .mapToDouble(simulation -> simulation.stats().get(queue).valueShare())
        .average()
        .orElseThrow();
  }

  @Nested
  class BurstOfGangs {
    @ParameterizedTest
    @CsvSource({"85, 18, 0.31", "245, 30, 0.95", "260, 47, 1"})
    void should_call_the_advisor_for_urgent_jobs_without_delay(int workers, int vms, double share) {
      // GIVEN
      Deployment deployment = Deployment.site(workers, vms, share);

      // WHEN
      List<LoadSimulation> baseline =
          simulations(
              deployment,
              (advisor, names, time) -> new EarliestFreeVmDispatcher(advisor, () -> names, time));
      List<LoadSimulation> current =
          simulations(
              deployment,
              (advisor, names, time) -> new PriorityAdviceDispatcher(advisor, () -> names, time));

      // THEN
      assertThat(current)
          .allSatisfy(simulation -> assertThat(p90(simulation.adviceWaits(0))).isLessThan(60));
      assertThat(averageShare(current, "checks"))
          .isGreaterThan(averageShare(baseline, "checks") - 0.03);
      assertThat(averageShare(current, "layouts"))
          .isGreaterThan(averageShare(baseline, "layouts") - 0.03);
    }
  }
}
