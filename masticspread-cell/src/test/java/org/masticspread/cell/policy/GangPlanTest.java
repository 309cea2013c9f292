package org.masticspread.cell.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticspread.cell.policy.Forecast.Release;
import org.masticspread.cell.testing.Jobs;
import org.masticspread.model.resource.ResourceVector;

class GangPlanTest {
  private static final long NOW = 1000;

  private static Forecast worker(String id, long free, double speed, Release... releases) {
    return new Forecast(new TestWorker(id, "r", 8000, free, speed, false), NOW, List.of(releases));
  }

  private static Release release(long at, long millicores) {
    return new Release(at, new ResourceVector(millicores, 1024, 0));
  }

  private static GangPlan.Gang gang(int tasks, long millicores) {
    return new GangPlan.Gang(
        Jobs.step(tasks, millicores, Duration.ofSeconds(2), true), "g", 2000, 1.5);
  }

  private static List<String> workers(Optional<GangPlan> plan) {
    return plan.orElseThrow().workers().stream().map(CandidateWorker::id).toList();
  }

  @Nested
  class Find {
    @Test
    void should_start_now_if_all_tasks_fit() {
      // WHEN
      Optional<GangPlan> plan =
          GangPlan.find(gang(4, 4000), List.of(worker("a", 8000, 1), worker("b", 8000, 1)), NOW);

      // THEN
      assertThat(plan.orElseThrow().startMillis()).isEqualTo(NOW);
      assertThat(plan.get().placements()).hasSize(4);
    }

    @Test
    void should_start_as_soon_as_all_tasks_fit() {
      // WHEN
      Optional<GangPlan> plan =
          GangPlan.find(
              gang(3, 4000),
              List.of(
                  worker("a", 4000, 1, release(3000, 4000)),
                  worker("b", 0, 1, release(1400, 4000), release(1700, 4000))),
              NOW);

      // THEN
      assertThat(plan.orElseThrow().startMillis()).isEqualTo(1700);
    }

    @Test
    void should_wait_for_fast_workers_rather_than_start_at_once_on_a_slow_one() {
      // WHEN
      Optional<GangPlan> plan =
          GangPlan.find(
              gang(2, 8000),
              List.of(
                  worker("slow", 8000, 0.5),
                  worker("fast", 8000, 1),
                  worker("soon", 0, 1, release(1500, 8000))),
              NOW);

      // THEN
      assertThat(workers(plan)).containsExactlyInAnyOrder("fast", "soon");
    }

    @Test
    void should_use_a_slow_worker_if_that_ends_earlier() {
      // WHEN
      Optional<GangPlan> plan =
          GangPlan.find(
              gang(2, 8000),
              List.of(
                  worker("slow", 8000, 0.7),
                  worker("fast", 8000, 1),
                  worker("late", 0, 1, release(9000, 8000))),
              NOW);

      // THEN
      assertThat(workers(plan)).containsExactlyInAnyOrder("fast", "slow");
    }

    @Test
    void should_choose_workers_of_similar_speed() {
      // WHEN
      Optional<GangPlan> plan =
          GangPlan.find(
              gang(4, 4000),
              List.of(worker("slow", 8000, 0.55), worker("x", 8000, 1.2), worker("y", 8000, 1.2)),
              NOW);

      // THEN
      assertThat(plan.orElseThrow().placements())
          .extracting(forecast -> forecast.worker().id())
          .containsExactlyInAnyOrder("x", "x", "y", "y");
    }

    @Test
    void should_find_no_plan_if_the_tasks_never_fit_at_once() {
      assertThat(GangPlan.find(gang(3, 8000), List.of(worker("a", 8000, 1)), NOW)).isEmpty();
      assertThat(GangPlan.find(gang(1, 1000), List.of(), NOW)).isEmpty();
    }
  }

  @Nested
  class Reserve {
    @Test
    void should_place_the_next_gang_on_other_workers() {
      // GIVEN
      List<Forecast> workers = List.of(worker("a", 8000, 1), worker("b", 8000, 1));
      GangPlan first = GangPlan.find(gang(2, 4000), workers, NOW).orElseThrow();

      // WHEN
      first.reserve(gang(2, 4000).step());
      Optional<GangPlan> second = GangPlan.find(gang(2, 4000), workers, NOW);

      // THEN
      assertThat(workers(second)).doesNotContainAnyElementsOf(workers(Optional.of(first)));
    }
  }

  @Property(seed = "20261206", tries = 200)
  void should_never_overcommit_a_worker(
      @ForAll @Size(min = 1, max = 12) List<@IntRange(max = 32) Integer> free,
      @ForAll @IntRange(min = 1, max = 20) int tasks,
      @ForAll @IntRange(min = 1, max = 15) int cores) {
    // GIVEN
    List<Forecast> workers = new ArrayList<>();
    for (int i = 0; i < free.size(); i++) {
      CandidateWorker worker = new TestWorker("w" + i, "r", 32_000, free.get(i) * 1000L, 1, false);
      workers.add(new Forecast(worker, NOW, List.of()));
    }

    // WHEN
    List<Forecast> chosen =
        GangPlan.find(gang(tasks, cores * 1000L), workers, NOW)
            .map(GangPlan::placements)
            .orElse(List.of());

    // THEN
    long slots = free.stream().mapToLong(freeCores -> freeCores / cores).sum();
    assertThat(chosen).hasSize(slots >= tasks ? tasks : 0);
    for (Forecast worker : workers) {
      long used = chosen.stream().filter(worker::equals).count();
      assertThat(used * cores * 1000).isLessThanOrEqualTo(worker.worker().free().millicores());
    }
  }
}
