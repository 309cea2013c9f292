package org.masticspread.cell.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Accepted gangs that stood still until the end of the day though most workers were free. */
class StandingWorkTest {
  /** By the users' rules, accepted work that has room does not stand still for so long. */
  private static final Duration STANDS_TOO_LONG = Duration.ofSeconds(3);

  private static Deployment deployment(String name) {
    return switch (name) {
      case "grown" -> Deployment.grown(1);
      case "large" -> Deployment.large(245, 41, 1);
      case "site" -> Deployment.site(260, 47, 1);
      default -> throw new IllegalArgumentException(name);
    };
  }

  private static LoadDay burstsAtOnce(Deployment deployment, long seed, double load) {
    return new LoadDay(deployment, seed)
        .play(Duration.ofSeconds(3), kind -> load)
        .play(Duration.ofSeconds(6), kind -> kind.queue().equals("batches") ? 2.1 * load : load)
        .play(Duration.ofSeconds(12), kind -> load)
        .play(Duration.ofSeconds(4), kind -> kind.queue().equals("layouts") ? 1.6 * load : load)
        .play(Duration.ofSeconds(9), kind -> load)
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
    void should_not_leave_accepted_work_standing_while_workers_are_free(
        String name, long seed, double load) {
      // WHEN
      LoadDay day = burstsAtOnce(deployment(name), seed, load);

      // THEN
      assertThat(day.violations()).isEmpty();
      assertThat(day.standing().longest())
          .as(day.standing().longestJob())
          .isLessThan(STANDS_TOO_LONG);
    }
  }
}
