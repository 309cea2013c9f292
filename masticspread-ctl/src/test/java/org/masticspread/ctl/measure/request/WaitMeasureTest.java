package org.masticspread.ctl.measure.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.masticspread.ctl.measure.MeasureReport;

class WaitMeasureTest {
  private static final MeasureReport<RequestRow> REPORT =
      WaitMeasure.of(1)
          .withDeployments(
              List.of(Deployment.kitami(), Deployment.mtkvari()), Duration.ofSeconds(10))
          .report();

  private static RequestRow row(String policy, String deployment, String workClass) {
    return REPORT.rows().stream()
        .filter(row -> row.policy().equals(policy) && row.deployment().equals(deployment))
        .filter(row -> row.workClass().equals(workClass))
        .findFirst()
        .orElseThrow();
  }

  @ParameterizedTest
  @CsvSource({
    "kitami, all",
    "kitami, urgent",
    "mtkvari, all",
    "mtkvari, urgent",
  })
  void should_wait_less_than_half_as_long_as_random_routing(String deployment, String workClass) {
    // WHEN
    RequestRow masticspread = row(RequestPolicies.MASTICSPREAD, deployment, workClass);
    RequestRow random = row("random", deployment, workClass);
    // THEN
    assertThat(masticspread.waitP99Ms()).isLessThan(random.waitP99Ms() / 2);
    assertThat(masticspread.deadlinesMet()).isGreaterThanOrEqualTo(random.deadlinesMet());
  }

  @ParameterizedTest
  @CsvSource({"round-robin", "fifo", "random-free", "strict-priority"})
  void should_answer_urgent_work_no_later_than_other_baselines(String baseline) {
    for (String deployment : List.of("kitami", "mtkvari")) {
      // WHEN
      RequestRow masticspread = row(RequestPolicies.MASTICSPREAD, deployment, "urgent");
      RequestRow baselineRow = row(baseline, deployment, "urgent");
      // THEN
      assertThat(masticspread.waitP99Ms()).isLessThanOrEqualTo(baselineRow.waitP99Ms());
      assertThat(masticspread.responseP99Ms()).isLessThanOrEqualTo(baselineRow.responseP99Ms());
    }
  }

  @ParameterizedTest
  @Tag("known-red")
  @CsvSource({"round-robin", "fifo", "random-free", "strict-priority", "random"})
  void should_let_no_work_wait_longer_than_with_a_baseline(String baseline) {
    for (String deployment : List.of("kitami", "mtkvari")) {
      // WHEN
      RequestRow masticspread = row(RequestPolicies.MASTICSPREAD, deployment, "all");
      RequestRow baselineRow = row(baseline, deployment, "all");
      // THEN
      assertThat(masticspread.waitP99Ms()).isLessThanOrEqualTo(baselineRow.waitP99Ms());
    }
  }
}
