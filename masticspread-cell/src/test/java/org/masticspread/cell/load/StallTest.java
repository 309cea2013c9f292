package org.masticspread.cell.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against accepted gangs that stall until the end of the simulation although most workers
 * are free.
 */
class StallTest {
  /** By the users' rules, an accepted job that fits must not stall for this long. */
  private static final Duration MAX_STALL = Duration.ofSeconds(3);

  private static Deployment deployment(String name) {
    return switch (name) {
      case "grown" -> Deployment.grown(1);
      case "large" -> Deployment.large(245, 41, 1);
      case "site" -> Deployment.site(260, 47, 1);
      default -> throw new IllegalArgumentException(name);
    };
  }

  private static LoadSimulation runBursts(Deployment deployment, long seed, double load) {
    return new LoadSimulation(deployment, seed)
        .run(Duration.ofSeconds(3), kind -> load)
        .run(Duration.ofSeconds(6), kind -> kind.queue().equals("batches") ? 2.1 * load : load)
        .run(Duration.ofSeconds(12), kind -> load)
        .run(Duration.ofSeconds(4), kind -> kind.queue().equals("layouts") ? 1.6 * load : load)
        .run(Duration.ofSeconds(9), kind -> load)
        .end();
  }

  @Nested
  class BesideGangs {
    @ParameterizedTest
    @CsvSource({
      "grown, 1, 1.4",
      "grown, 4, 1.4",
      "grown, 5, 1.2",
      "grown, 6, 1.2",
      "grown, 7, 1",
      "large, 1, 1.4",
      "large, 3, 1.2",
      "site, 1, 1"
    })
    void should_not_stall_accepted_jobs_while_workers_are_free(
        String name, long seed, double load) {
      // WHEN
      LoadSimulation simulation = runBursts(deployment(name), seed, load);

      // THEN
      assertThat(simulation.violations()).isEmpty();
      assertThat(simulation.stalls().longestStall())
          .as(simulation.stalls().longestJob())
          .isLessThan(MAX_STALL);
    }
  }
}
