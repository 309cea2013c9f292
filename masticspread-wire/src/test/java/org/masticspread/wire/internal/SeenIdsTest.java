package org.masticspread.wire.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;

/** Ids that come twice are found; waits between attempts keep their bounds. */
class SeenIdsTest {
  private static final long WINDOW = 8192;

  @Property(seed = "201", tries = 1000)
  void should_equal_a_set_within_its_window(
      @ForAll List<@LongRange(min = -3, max = 20_000) Long> ids, @ForAll boolean near) {
    // GIVEN
    SeenIds seen = new SeenIds();
    Set<Long> naive = new HashSet<>();
    long highest = 0;

    // WHEN / THEN
    for (long drawn : ids) {
      long id = near ? drawn % 7 : drawn;
      boolean fresh = id > 0 && id > highest - WINDOW && naive.add(id);
      assertThat(seen.add(id)).isEqualTo(fresh);
      highest = Math.max(highest, id);
    }
  }

  @Property(seed = "202")
  void should_double_the_wait_up_to_the_longest(@ForAll @IntRange(min = 1, max = 80) int failures) {
    // GIVEN
    Backoff backoff = new Backoff(Duration.ofMillis(50), Duration.ofSeconds(2));

    // WHEN
    for (int i = 0; i < failures; i++) {
      backoff.failed(1000);
    }

    // THEN
    long step = Math.min(2_000_000_000L, 50_000_000L << Math.min(failures - 1, 20));
    assertThat(backoff.mustWait(1000 + step / 2 - 1)).isTrue();
    assertThat(backoff.mustWait(1000 + step)).isFalse();
    assertThat(backoff.mustWait(999)).isFalse();
    backoff.succeeded();
    assertThat(backoff.mustWait(1000)).isFalse();
  }
}
