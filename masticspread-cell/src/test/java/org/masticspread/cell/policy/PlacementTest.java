package org.masticspread.cell.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticspread.cell.testing.Jobs;
import org.masticspread.model.cell.StepSpec;
import org.masticspread.model.resource.ResourceVector;

class PlacementTest {
  private static final double FAR = 1.5;

  /** A worker with 32 cores. */
  private record TestRoom(String id, String rack, long freeCores, double speed) implements Room {
    @Override
    public ResourceVector free() {
      return new ResourceVector(freeCores * 1000, 1 << 20, 0);
    }

    @Override
    public ResourceVector capacity() {
      return new ResourceVector(32_000, 1 << 20, 0);
    }

    @Override
    public int tasksOf(String step) {
      return 0;
    }
  }

  private static StepSpec step(int tasks, int cores) {
    return Jobs.step(tasks, cores * 1000L, Duration.ofSeconds(1), true);
  }

  @Nested
  class Single {
    private String choose(boolean urgent, Room... rooms) {
      return Placement.single(List.of(rooms), step(1, 2), "s", urgent, FAR)
          .map(Room::id)
          .orElse("none");
    }

    @Test
    void should_leave_whole_workers_free() {
      // WHEN / THEN
      assertThat(choose(false, new TestRoom("empty", "r", 32, 1), new TestRoom("used", "r", 10, 1)))
          .isEqualTo("used");
    }

    @Test
    void should_send_urgent_tasks_to_fast_workers() {
      // WHEN / THEN
      assertThat(
              choose(true, new TestRoom("slow", "r", 4, 0.55), new TestRoom("fast", "r", 32, 1.2)))
          .isEqualTo("fast");
    }

    @Test
    void should_choose_none_without_room() {
      // WHEN / THEN
      assertThat(choose(true, new TestRoom("full", "r", 1, 1))).isEqualTo("none");
    }
  }

  @Nested
  class Gang {
    @Test
    void should_take_workers_of_like_speed() {
      // GIVEN
      List<Room> rooms =
          List.of(
              new TestRoom("slow", "r", 32, 0.55),
              new TestRoom("fast1", "r", 18, 1.2),
              new TestRoom("fast2", "r", 18, 1.2));

      // WHEN
      List<Room> chosen = Placement.gang(rooms, step(4, 9), "s", FAR);

      // THEN
      assertThat(chosen).extracting(Room::id).containsExactly("fast1", "fast1", "fast2", "fast2");
    }

    @Test
    void should_start_none_when_there_is_no_room_for_all() {
      // WHEN / THEN
      assertThat(Placement.gang(List.of(new TestRoom("a", "r", 32, 1)), step(4, 9), "s", FAR))
          .isEmpty();
    }
  }

  @Property(tries = 200)
  void should_never_overfill_a_worker(
      @ForAll @Size(min = 1, max = 12) List<@IntRange(max = 32) Integer> free,
      @ForAll @IntRange(min = 1, max = 20) int tasks,
      @ForAll @IntRange(min = 1, max = 15) int cores) {
    // GIVEN
    List<TestRoom> rooms =
        java.util.stream.IntStream.range(0, free.size())
            .mapToObj(i -> new TestRoom("w" + i, "r", free.get(i), 1))
            .toList();

    // WHEN
    List<Room> chosen = Placement.gang(rooms, step(tasks, cores), "s", FAR);

    // THEN
    long slots = free.stream().mapToLong(cores1 -> cores1 / cores).sum();
    assertThat(chosen).hasSize(slots >= tasks ? tasks : 0);
    Map<String, Long> used =
        chosen.stream()
            .collect(
                java.util.stream.Collectors.groupingBy(
                    Room::id, java.util.stream.Collectors.counting()));
    rooms.forEach(
        room ->
            assertThat(used.getOrDefault(room.id(), 0L) * cores)
                .isLessThanOrEqualTo(room.freeCores()));
  }
}
