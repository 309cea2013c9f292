package org.masticspread.policy.estimate;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;
import static org.masticspread.policy.placement.Samples.job;
import static org.masticspread.policy.placement.Samples.size;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.masticspread.model.peer.PlaceTask;
import org.masticspread.model.platform.WorkerTaskPhase;
import org.masticspread.model.resource.ResourceVector;
import org.masticspread.model.work.JobKind;
import org.masticspread.model.work.JobSpec;
import org.masticspread.model.work.Urgency;
import org.masticspread.policy.placement.Samples;

class EstimatesTest {
  private static final ResourceVector LIMIT = size(16, 32);
  private static final int RAN_MINUTES = 10;

  private final Estimates estimates = new Estimates();

  private JobSpec spec(String name, int gib) {
    return Samples.spec(job("team", name), JobKind.BATCH, Urgency.NORMAL, 9, size(2, gib), null);
  }

  private void run(JobSpec spec, int times, double usedGib) {
    for (int i = 0; i < times; i++) {
      PlaceTask task =
          Samples.task(spec.key(), i + 1, Urgency.NORMAL, JobKind.BATCH, spec.perTask());
      ResourceVector used = new ResourceVector(1000, (long) (usedGib * (1L << 30)), 0);
      Duration half = Duration.ofSeconds(30);
      Duration whole = Duration.ofMinutes(RAN_MINUTES);
      estimates.observe(spec, Samples.running(task, size(0, 0), half, false));
      estimates.observe(spec, Samples.running(task, used, half, false));
      estimates.observe(
          spec, Samples.workerTask(task, WorkerTaskPhase.SUCCEEDED, size(0, 0), whole, false));
    }
  }

  @ParameterizedTest
  @CsvSource({
    "4, 20, 1.0, 20",
    "5, 20, 2.0, 2.2",
    "50, 20, 2.0, 2.2",
    "50, 2, 20.0, 22",
    "50, 1, 100.0, 17.6",
    "50, 4, 100.0, 32"
  })
  void should_correct_declared_memory_by_measured_usage(
      int samples, int declaredGib, double usedGib, double expectedGib) {
    // GIVEN
    run(spec("earlier", declaredGib), samples, usedGib);
    // WHEN
    long estimate = estimates.size(spec("next", declaredGib), LIMIT).memoryBytes();
    // THEN
    assertThat(estimate / (double) (1L << 30)).isEqualTo(expectedGib, within(0.01));
  }

  @Test
  void should_follow_usage_if_declarations_are_both_too_high_and_too_low() {
    // GIVEN
    run(spec("over", 20), 20, 2.0);
    run(spec("under", 1), 20, 2.0);
    // WHEN THEN
    for (int declared : new int[] {1, 20}) {
      double gib = estimates.size(spec("next", declared), LIMIT).memoryBytes() / 1e9;
      assertThat(gib).isBetween(2.0, 2.8);
    }
  }

  @Test
  void should_prefer_the_usage_of_the_job_itself() {
    // GIVEN
    run(spec("others", 20), 50, 2.0);
    run(spec("this", 20), 5, 10.0);
    // WHEN THEN
    assertThat(estimates.size(spec("this", 20), LIMIT).memoryBytes()).isGreaterThan(10L << 30);
  }

  @ParameterizedTest
  @CsvSource({"4, 1", "5, 10"})
  void should_learn_run_times(int samples, int expectedMinutes) {
    // GIVEN
    run(spec("earlier", 1), samples, 1.0);
    // WHEN THEN
    assertThat(estimates.runTime(spec("next", 1))).isEqualTo(Duration.ofMinutes(expectedMinutes));
  }
}
