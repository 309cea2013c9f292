package org.masticspread.policy.health;

import static org.assertj.core.api.Assertions.assertThat;
import static org.masticspread.policy.placement.Samples.job;

import java.time.Duration;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.masticspread.model.id.JobKey;
import org.masticspread.model.id.WorkerId;
import org.masticspread.policy.placement.Samples;

class HealthTrackerTest {
  private static final Set<WorkerId> WORKERS =
      IntStream.range(0, 20).mapToObj(HealthTrackerTest::worker).collect(Collectors.toSet());

  private final Samples.Clock clock = new Samples.Clock();
  private final HealthTracker tracker = new HealthTracker(clock);

  private static WorkerId worker(int number) {
    return WorkerId.of("w" + number);
  }

  private static JobKey jobOf(int number) {
    return job("team", "job" + number);
  }

  @ParameterizedTest
  @CsvSource({"1, 9, 0, false", "2, 1, 0, false", "3, 1, 0, true", "3, 1, 1, false"})
  void should_park_jobs_that_fail_on_distinct_workers(
      int workers, int failuresOnEach, int successes, boolean parked) {
    // WHEN
    for (int i = 0; i < workers * failuresOnEach; i++) {
      if (i == 2 && successes > 0) {
        tracker.recordSuccess(jobOf(0), worker(9));
      }
      tracker.recordFailure(jobOf(0), worker(i % workers));
    }
    // THEN
    assertThat(tracker.parkReason(jobOf(0)).isPresent()).isEqualTo(parked);
    assertThat(tracker.updateQuarantine(WORKERS)).isEmpty();
  }

  @ParameterizedTest
  @CsvSource({"1, 9, false", "2, 1, false", "3, 1, true"})
  void should_quarantine_workers_on_which_distinct_jobs_fail(
      int jobs, int failuresOfEach, boolean quarantined) {
    // WHEN
    for (int i = 0; i < jobs * failuresOfEach; i++) {
      tracker.recordFailure(jobOf(i % jobs), worker(0));
    }
    // THEN
    assertThat(tracker.updateQuarantine(WORKERS).contains(worker(0))).isEqualTo(quarantined);
    assertThat(tracker.parkReason(jobOf(0))).isEmpty();
  }

  @Test
  void should_not_blame_workers_for_jobs_that_fail_everywhere() {
    // WHEN
    for (int job = 0; job < 5; job++) {
      for (int w = 0; w < 5; w++) {
        tracker.recordFailure(jobOf(job), worker(w));
      }
    }
    // THEN
    assertThat(IntStream.range(0, 5)).allMatch(job -> tracker.parkReason(jobOf(job)).isPresent());
    assertThat(tracker.updateQuarantine(WORKERS)).isEmpty();
  }

  @Test
  void should_not_blame_jobs_for_workers_that_fail_everything() {
    // GIVEN
    for (int w = 0; w < 2; w++) {
      for (int job = 0; job < 3; job++) {
        tracker.recordFailure(jobOf(10 + 3 * w + job), worker(w));
      }
    }
    assertThat(tracker.updateQuarantine(WORKERS)).containsExactlyInAnyOrder(worker(0), worker(1));
    // WHEN
    tracker.recordFailure(jobOf(0), worker(0));
    tracker.recordFailure(jobOf(0), worker(1));
    tracker.recordFailure(jobOf(0), worker(2));
    // THEN
    assertThat(tracker.parkReason(jobOf(0))).isEmpty();
  }

  @Test
  void should_bound_the_number_of_quarantined_workers() {
    // WHEN
    for (int w = 0; w < 20; w++) {
      for (int job = 0; job < 3; job++) {
        tracker.recordFailure(jobOf(100 * w + job), worker(w));
      }
    }
    // THEN
    assertThat(tracker.updateQuarantine(WORKERS)).hasSize(2);
    assertThat(tracker.updateQuarantine(Set.of(WorkerId.of("other-pool")))).isEmpty();
    assertThat(tracker.updateQuarantine(WORKERS)).hasSize(2);
  }

  @ParameterizedTest
  @CsvSource({"9, 0, true", "11, 0, false", "11, 1, true"})
  void should_put_workers_on_probation_after_quarantine(
      int minutes, int failures, boolean quarantined) {
    // GIVEN
    for (int job = 0; job < 3; job++) {
      tracker.recordFailure(jobOf(job), worker(0));
    }
    assertThat(tracker.updateQuarantine(WORKERS)).contains(worker(0));
    // WHEN
    clock.plus(Duration.ofMinutes(minutes));
    tracker.updateQuarantine(WORKERS);
    for (int i = 0; i < failures; i++) {
      tracker.recordFailure(jobOf(50 + i), worker(0));
    }
    // THEN
    assertThat(tracker.updateQuarantine(WORKERS).contains(worker(0))).isEqualTo(quarantined);
  }
}
