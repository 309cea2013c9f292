package org.masticspread.cell.policy;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class TroubleWatchTest {
  private final TroubleWatch watch = new TroubleWatch();

  @Test
  void should_put_a_worker_aside_on_which_several_jobs_fail() {
    // WHEN
    watch.failed("w", "a", 0);
    boolean aside = watch.failed("w", "b", 10);

    // THEN
    assertThat(aside).isTrue();
    assertThat(watch.usable("w", 20)).isFalse();
    assertThat(watch.usable("w", 5000)).isTrue();
    assertThat(watch.onProbation("w")).isTrue();
  }

  @Test
  void should_not_blame_a_worker_for_one_hopeless_job() {
    // WHEN
    watch.failed("w", "a", 0);
    watch.failed("w", "a", 10);
    watch.failed("w", "a", 20);

    // THEN
    assertThat(watch.usable("w", 30)).isTrue();
  }

  @Test
  void should_forget_failures_after_a_success() {
    // WHEN
    watch.failed("w", "a", 0);
    watch.succeeded("w");
    watch.failed("w", "b", 10);

    // THEN
    assertThat(watch.usable("w", 20)).isTrue();
  }

  @Test
  void should_put_a_worker_aside_for_longer_when_it_fails_again() {
    // GIVEN
    watch.failed("w", "a", 0);
    watch.failed("w", "b", 0);

    // WHEN
    boolean aside = watch.failed("w", "c", 4000);

    // THEN
    assertThat(aside).isTrue();
    assertThat(watch.usable("w", 4000 + 4000)).isFalse();
    assertThat(watch.usable("w", 4000 + 6000)).isTrue();
  }
}
