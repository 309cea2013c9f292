package org.masticspread.platform.standin;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests when the rules of a fault script apply. */
class FaultsTest {
  private final VirtualTime time = VirtualTime.from(Instant.EPOCH);
  private final Faults faults = Faults.seeded(time, time, 5);

  private List<Integer> faultyCalls(Faults script, String call, int calls) {
    return IntStream.range(0, calls).filter(i -> script.next(call).isPresent()).boxed().toList();
  }

  @Test
  void should_count_only_calls_with_the_prefix() {
    // GIVEN
    faults.on("table.commit").skip(2).times(2).answerLost();

    // WHEN / THEN
    assertThat(faultyCalls(faults, "table.read/a", 9)).isEmpty();
    assertThat(faultyCalls(faults, "table.commit/a", 9)).containsExactly(2, 3);
  }

  @Test
  void should_count_calls_only_while_the_window_is_open() {
    // GIVEN
    Instant start = Instant.EPOCH.plusSeconds(10);
    faults.on("a").between(start, start.plusSeconds(1)).times(1).down();

    // WHEN / THEN
    assertThat(faultyCalls(faults, "a", 3)).isEmpty();
    time.advance(Duration.ofSeconds(10));
    assertThat(faultyCalls(faults, "a", 3)).containsExactly(0);
    time.advance(Duration.ofSeconds(1));
    assertThat(faultyCalls(faults, "a", 3)).isEmpty();
  }

  @Test
  void should_apply_the_first_matching_rule_and_clear_all_rules() {
    // GIVEN
    faults.on("a").times(1).cut();
    faults.where(call -> call.endsWith("b")).slow(Duration.ofSeconds(1));

    // WHEN / THEN
    assertThat(faults.next("ab").map(Fault::kind)).contains(FaultKind.CUT);
    assertThat(faults.next("ab").map(Fault::kind)).contains(FaultKind.SLOW);
    faults.clear();
    assertThat(faults.next("ab")).isEmpty();
  }

  @Test
  void should_repeat_random_faults_with_the_same_seed() {
    // GIVEN
    Faults same = Faults.seeded(time, time, 5);
    Faults other = Faults.seeded(time, time, 6);
    List.of(faults, same, other).forEach(f -> f.on("a").withChance(0.3).down());

    // WHEN
    List<Integer> faultyCalls = faultyCalls(faults, "a", 1000);

    // THEN
    assertThat(faultyCalls).hasSizeBetween(200, 400).isEqualTo(faultyCalls(same, "a", 1000));
    assertThat(faultyCalls).isNotEqualTo(faultyCalls(other, "a", 1000));
  }

  @Test
  void should_run_due_tasks_in_order_at_their_scheduled_time() {
    // GIVEN
    List<String> seen = new ArrayList<>();
    time.after(Duration.ofSeconds(2), () -> seen.add("b" + time.instant().getEpochSecond()));
    time.after(
        Duration.ofSeconds(1),
        () -> time.after(Duration.ofSeconds(1), () -> seen.add("c" + time.instant())));
    time.after(Duration.ofSeconds(1), () -> seen.add("a" + time.instant().getEpochSecond()));
    time.after(Duration.ofSeconds(4), () -> seen.add("late"));

    // WHEN
    time.advance(Duration.ofSeconds(3));

    // THEN
    assertThat(seen).containsExactly("a1", "b2", "c1970-01-01T00:00:02Z");
    assertThat(time.waiting()).isEqualTo(1);
  }
}
