package org.masticspread.ctl.measure.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.masticspread.ctl.measure.MeasureReport;

class FloodMeasureTest {
  private static final long SEED = 1;
  private static final List<RequestRow> ROWS =
      FloodMeasure.of(SEED)
          .withDeployments(
              List.of(Deployment.kitami(), Deployment.mtkvari()), Duration.ofSeconds(6))
          .report()
          .rows();
  private static final List<String> URGENT = List.of("order", "counter-check");

  private static List<RequestRow> masticspreadRows(Predicate<RequestRow> filter) {
    return ROWS.stream()
        .filter(row -> row.policy().equals(RequestPolicies.MASTICSPREAD))
        .filter(row -> !row.flooded())
        .filter(filter)
        .toList();
  }

  @Test
  void should_keep_95_percent_of_goodput_within_floors() {
    // WHEN
    List<RequestRow> kept = masticspreadRows(row -> true);
    // THEN
    assertThat(kept).hasSizeGreaterThan(100).allMatch(row -> row.kept() >= 0.95);
  }

  @Test
  void should_meet_99_percent_of_deadlines_within_floors() {
    // WHEN
    List<RequestRow> met = masticspreadRows(row -> true);
    // THEN
    assertThat(met).hasSizeGreaterThan(100).allMatch(row -> row.deadlinesMet() >= 0.99);
  }

  @ParameterizedTest
  @ValueSource(strings = {"kitami", "mtkvari"})
  void should_keep_the_urgent_wait_within_1_2_times_that_without_a_flood(String deployment) {
    // GIVEN
    List<RequestRow> urgent =
        masticspreadRows(
            row -> row.deployment().equals(deployment) && URGENT.contains(row.workClass()));
    List<RequestRow> withoutFlood =
        urgent.stream().filter(row -> row.scenario().equals("no-flood")).toList();
    // THEN
    assertThat(urgent)
        .hasSizeGreaterThan(20)
        .allSatisfy(
            row -> {
              RequestRow before =
                  withoutFlood.stream()
                      .filter(c -> c.team().equals(row.team()))
                      .findFirst()
                      .orElseThrow();
              assertThat(row.waitP99Ms()).isLessThanOrEqualTo(1.2 * before.waitP99Ms());
            });
  }

  @ParameterizedTest
  @ValueSource(strings = {"fifo", "strict-priority", "round-robin"})
  void should_be_no_worse_than_each_baseline_in_each_flood(String baseline) {
    // GIVEN
    List<String> floods =
        ROWS.stream()
            .map(RequestRow::scenario)
            .filter(s -> !s.equals("no-flood"))
            .distinct()
            .toList();
    // THEN
    assertThat(floods)
        .hasSize(6)
        .allSatisfy(
            flood -> {
              assertNotWorse(baseline, flood, RequestRow::kept);
              assertNotWorse(baseline, flood, RequestRow::deadlinesMet);
              assertNotWorse(baseline, flood, row -> -row.waitP99Ms());
            });
  }

  private static void assertNotWorse(
      String baseline, String flood, ToDoubleFunction<RequestRow> value) {
    for (String deployment : List.of("kitami", "mtkvari")) {
      double masticspread = worst(RequestPolicies.MASTICSPREAD, deployment, flood, value);
      double baselineValue = worst(baseline, deployment, flood, value);
      assertThat(masticspread).as(deployment + " " + flood).isGreaterThanOrEqualTo(baselineValue);
    }
  }

  private static double worst(
      String policy, String deployment, String flood, ToDoubleFunction<RequestRow> value) {
    return ROWS.stream()
        .filter(row -> row.policy().equals(policy) && row.deployment().equals(deployment))
        .filter(row -> row.scenario().equals(flood) && !row.flooded())
        .filter(row -> URGENT.contains(row.workClass()) || value.applyAsDouble(row) >= 0)
        .min(Comparator.comparingDouble(value))
        .map(value::applyAsDouble)
        .orElseThrow();
  }

  @Test
  void should_print_the_fields_of_the_rows_as_json() {
    // GIVEN
    MeasureReport<RequestRow> report = new MeasureReport<>("flood", SEED, ROWS.subList(0, 1));
    // WHEN
    String json = report.toJson();
    // THEN
    assertThat(json)
        .startsWith("{\"measure\":\"flood\",\"seed\":1,\"rows\":[{\"policy\":\"masticspread\",")
        .contains("\"deployment\":\"kitami\",\"scenario\":\"no-flood\",\"team\":\"workshop\"")
        .contains("\"kept\":1.0", "\"waitP50Ms\":", "\"waitP99Ms\":", "\"deadlinesMet\":");
    assertThat(report.toText()).startsWith("policy ").hasLineCount(2);
  }
}
