package org.masticspread.cell.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticspread.cell.testing.Jobs;
import org.masticspread.model.cell.StepSpec;

class PlacementTest {
  private static final double FAR = 1.5;

  /** Returns a worker with 32 cores. */
  private static TestWorker room(String id, int freeCores, double speed) {
    return new TestWorker(id, "r", 32_000, freeCores * 1000L, speed, false);
  }

  private static StepSpec step(int tasks, int cores) {
    return Jobs.step(tasks, cores * 1000L, Duration.ofSeconds(1), true);
  }

  @Nested
  class Single {
    private String choose(boolean urgent, CandidateWorker... rooms) {
      return Placement.chooseWorker(List.of(rooms), step(1, 2), "s", urgent, FAR)
          .map(CandidateWorker::id)
          .orElse("none");
    }

    @Test
    void should_leave_whole_workers_free() {
      // WHEN / THEN
      assertThat(choose(false, room("empty", 32, 1), room("used", 10, 1))).isEqualTo("used");
    }

    @Test
    void should_send_urgent_tasks_to_fast_workers() {
      // WHEN / THEN
      assertThat(choose(true, room("slow", 4, 0.55), room("fast", 32, 1.2))).isEqualTo("fast");
    }

    @Test
    void should_leave_the_room_that_a_gang_waits_for() {
      // GIVEN
      CandidateWorker awaited = new TestWorker("awaited", "r", 32_000, 10_000, 1, true);

      // WHEN / THEN
      assertThat(choose(true, awaited, room("other", 20, 1))).isEqualTo("other");
    }

    @Test
    void should_choose_none_without_room() {
      // WHEN / THEN
      assertThat(choose(true, room("full", 1, 1))).isEqualTo("none");
    }
  }
}
