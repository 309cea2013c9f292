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

/** Tests the detection of duplicate ids and the bounds of the reconnect backoff. */
class SeenIdsTest {
  private static final long WINDOW = 8192;

  @Property(seed = "201", tries = 1000)
  void should_behave_like_a_set_within_its_window(
      @ForAll List<@LongRange(min = -3, max = 20_000) Long> ids, @ForAll boolean fewIds) {
    // GIVEN
    SeenIds seen = new SeenIds();
    Set<Long> reference = new HashSet<>();
    long highest = 0;

    // WHEN / THEN
    for (long candidate : ids) {
      long id = fewIds ? candidate % 7 : candidate;
      boolean fresh = id > 0 && id > highest - WINDOW && reference.add(id);
      assertThat(seen.add(id)).isEqualTo(fresh);
      highest = Math.max(highest, id);
    }
  }

  @Property(seed = "202")
  void should_double_the_wait_up_to_the_maximum(@ForAll @IntRange(min = 1, max = 80) int failures) {
    // GIVEN
    Backoff backoff = new Backoff(Duration.ofMillis(50), Duration.ofSeconds(2));

    // WHEN
    for (int i = 0; i < failures; i++) {
      backoff.recordFailure(1000);
    }

    // THEN
    long step = Math.min(2_000_000_000L, 50_000_000L << Math.min(failures - 1, 20));
    assertThat(backoff.mustWait(1000 + step / 2 - 1)).isTrue();
    assertThat(backoff.mustWait(1000 + step)).isFalse();
    assertThat(backoff.mustWait(999)).isFalse();
    backoff.reset();
    assertThat(backoff.mustWait(1000)).isFalse();
  }
}
