package org.masticspread.cell.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticspread.cell.policy.Forecast.Release;
import org.masticspread.cell.testing.Jobs;
import org.masticspread.model.cell.StepSpec;
import org.masticspread.model.resource.ResourceVector;

class ForecastTest {
  private static final long NOW = 1000;
  private static final StepSpec STEP = Jobs.step(4, 3000, Duration.ofSeconds(1), true);

  private static ResourceVector cores(long millicores) {
    return new ResourceVector(millicores, 1024, 0);
  }

  /** Returns a worker with 4 of 10 cores free; 3 more become free at 1,500 and 3 more at 2,000. */
  private static Forecast forecast() {
    TestWorker worker = new TestWorker("w", "r", 10_000, 4000, 1.0, false);
    return new Forecast(
        worker, NOW, List.of(new Release(2000, cores(3000)), new Release(1500, cores(3000))));
  }

  @Nested
  class SlotsAt {
    @Test
    void should_count_slots_released_by_then() {
      assertThat(forecast().slotsAt(STEP, "s", NOW)).isEqualTo(1);
      assertThat(forecast().slotsAt(STEP, "s", 1500)).isEqualTo(2);
      assertThat(forecast().slotsAt(STEP, "s", 2000)).isEqualTo(3);
    }

    @Test
    void should_not_count_the_slots_of_an_overdue_run() {
      // GIVEN
      TestWorker worker = new TestWorker("w", "r", 10_000, 1000, 1.0, false);

      // WHEN
      Forecast forecast = new Forecast(worker, NOW, List.of(new Release(NOW - 50, cores(9000))));

      // THEN
      assertThat(forecast.slotsAt(STEP, "s", NOW)).isZero();
    }

    @Test
    void should_not_count_reserved_slots_until_the_reservation_ends() {
      // GIVEN
      Forecast forecast = forecast();

      // WHEN
      forecast.reserve(cores(3000), 2, 1500, 4000);

      // THEN
      assertThat(forecast.slotsAt(STEP, "s", 1500)).isZero();
      assertThat(forecast.slotsAt(STEP, "s", 2000)).isEqualTo(1);
      assertThat(forecast.slotsAt(STEP, "s", 4000)).isEqualTo(3);
    }
  }

  @Nested
  class Admits {
    @Test
    void should_admit_a_task_that_ends_before_the_gang_starts() {
      // GIVEN
      Forecast forecast = forecast();
      forecast.reserve(cores(3000), 2, 1500, 4000);

      // WHEN / THEN
      assertThat(forecast.admits(cores(4000), 1400)).isTrue();
      assertThat(forecast.admits(cores(4000), 1600)).isFalse();
    }

    @Test
    void should_admit_a_task_that_fits_beside_the_gang() {
      // GIVEN
      Forecast forecast = forecast();
      forecast.reserve(cores(3000), 2, 1500, 4000);

      // WHEN / THEN
      assertThat(forecast.admits(cores(1000), 9000)).isTrue();
    }

    @Test
    void should_count_tasks_that_started_beside_the_gang() {
      // GIVEN
      Forecast forecast = forecast();
      forecast.reserve(cores(3000), 2, 1500, 4000);

      // WHEN
      forecast.start(cores(1000), 9000);

      // THEN
      assertThat(forecast.admits(cores(1000), 9000)).isFalse();
    }
  }
}
