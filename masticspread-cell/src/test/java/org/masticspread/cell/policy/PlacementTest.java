package org.masticspread.cell.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticspread.cell.testing.Jobs;
import org.masticspread.model.cell.StepSpec;

class PlacementTest {
  private static final double CROSS_RACK_SLOWDOWN = 1.5;

  /** Returns a worker with 32 cores. */
  private static TestWorker worker(String id, int freeCores, double speed) {
    return new TestWorker(id, "r", 32_000, freeCores * 1000L, speed, false);
  }

  private static StepSpec step(int tasks, int cores) {
    return Jobs.step(tasks, cores * 1000L, Duration.ofSeconds(1), true);
  }

  @Nested
  class ChooseWorker {
    private String choose(boolean urgent, CandidateWorker... workers) {
      return Placement.chooseWorker(List.of(workers), step(1, 2), "s", urgent, CROSS_RACK_SLOWDOWN)
          .map(CandidateWorker::id)
          .orElse("none");
    }

    @Test
    void should_keep_empty_workers_free() {
      // WHEN / THEN
      assertThat(choose(false, worker("empty", 32, 1), worker("used", 10, 1))).isEqualTo("used");
    }

    @Test
    void should_send_urgent_tasks_to_fast_workers() {
      // WHEN / THEN
      assertThat(choose(true, worker("slow", 4, 0.55), worker("fast", 32, 1.2))).isEqualTo("fast");
    }

    @Test
    void should_avoid_a_worker_that_a_gang_waits_for() {
      // GIVEN
      CandidateWorker awaited = new TestWorker("awaited", "r", 32_000, 10_000, 1, true);

      // WHEN / THEN
      assertThat(choose(true, awaited, worker("other", 20, 1))).isEqualTo("other");
    }

    @Test
    void should_choose_none_if_the_task_fits_nowhere() {
      // WHEN / THEN
      assertThat(choose(true, worker("full", 1, 1))).isEqualTo("none");
    }
  }
}
