package org.masticspread.cell.policy;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.Random;
import org.junit.jupiter.api.Test;

class SpeedEstimatorTest {
  private static final long SEED = 7;

  private final SpeedEstimator estimator = new SpeedEstimator();

  @Test
  void should_learn_slow_workers_from_good_estimates() {
    // WHEN
    Random random = new Random(SEED);
    for (int i = 0; i < 400; i++) {
      double actual = 800 * Math.exp(0.5 * random.nextGaussian());
      double estimate = actual * Math.exp(0.2 * random.nextGaussian());
      boolean slow = i % 4 == 0;
      estimator.recordRun("checks", slow ? "slow" : "fast", estimate, actual / (slow ? 0.55 : 1.2));
    }

    // THEN
    assertThat(estimator.speed("fast") / estimator.speed("slow"))
        .isCloseTo(1.2 / 0.55, within(0.5));
  }

  @Test
  void should_stay_near_the_mean_if_estimates_are_rough() {
    // WHEN
    Random random = new Random(SEED);
    for (int i = 0; i < 400; i++) {
      double actual = 4000 * Math.exp(0.5 * random.nextGaussian());
      estimator.recordRun("layouts", "w", actual * Math.exp(0.9 * random.nextGaussian()), actual);
    }

    // THEN
    assertThat(estimator.expectedMillis("layouts", 1000)).isBetween(2000.0, 4200.0);
    assertThat(estimator.expectedMillis("layouts", 16_000)).isBetween(3800.0, 8000.0);
  }

  @Test
  void should_trust_estimates_before_any_run() {
    // WHEN / THEN
    assertThat(estimator.expectedMillis("new", 1234)).isEqualTo(1234);
    assertThat(estimator.speed("new")).isEqualTo(1);
  }

  @Test
  void should_learn_nothing_from_a_task_without_an_estimate() {
    // WHEN
    estimator.recordRun("checks", "w", 0, 500);

    // THEN
    assertThat(estimator.speed("w")).isEqualTo(1);
  }
}
