package org.masticspread.cell.policy;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class WorkerQuarantineTest {
  private final WorkerQuarantine quarantine = new WorkerQuarantine();

  @Test
  void should_quarantine_a_worker_on_which_several_jobs_fail() {
    // WHEN
    quarantine.recordFailure("w", "a", 0);
    boolean quarantined = quarantine.recordFailure("w", "b", 10);

    // THEN
    assertThat(quarantined).isTrue();
    assertThat(quarantine.usable("w", 20)).isFalse();
    assertThat(quarantine.usable("w", 5000)).isTrue();
    assertThat(quarantine.onProbation("w")).isTrue();
  }

  @Test
  void should_not_quarantine_a_worker_for_one_failing_job() {
    // WHEN
    quarantine.recordFailure("w", "a", 0);
    quarantine.recordFailure("w", "a", 10);
    quarantine.recordFailure("w", "a", 20);

    // THEN
    assertThat(quarantine.usable("w", 30)).isTrue();
  }

  @Test
  void should_forget_failures_after_a_success() {
    // WHEN
    quarantine.recordFailure("w", "a", 0);
    quarantine.recordSuccess("w");
    quarantine.recordFailure("w", "b", 10);

    // THEN
    assertThat(quarantine.usable("w", 20)).isTrue();
  }

  @Test
  void should_quarantine_a_worker_longer_if_it_fails_again() {
    // GIVEN
    quarantine.recordFailure("w", "a", 0);
    quarantine.recordFailure("w", "b", 0);

    // WHEN
    boolean quarantined = quarantine.recordFailure("w", "c", 4000);

    // THEN
    assertThat(quarantined).isTrue();
    assertThat(quarantine.usable("w", 4000 + 4000)).isFalse();
    assertThat(quarantine.usable("w", 4000 + 6000)).isTrue();
  }
}
