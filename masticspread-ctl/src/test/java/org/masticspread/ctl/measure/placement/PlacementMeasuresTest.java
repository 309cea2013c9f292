package org.masticspread.ctl.measure.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import picocli.CommandLine;

class PlacementMeasuresTest {
  private static final double ALLOCATED_TARGET = 0.92;

  private static Cell cell(String deployment) {
    return switch (deployment) {
      case "mtkvari" -> Cell.mtkvari();
      case "kitami" -> Cell.kitami();
      default -> Cell.later();
    };
  }

  private static PackingRow run(
      String deployment, String policy, PackingRun.Scenario scenario, long seed) {
    return new PackingRun(cell(deployment), Strategies.all(seed).get(policy), seed)
        .run(policy, scenario);
  }

  private static List<PackingRow> masticspread(String deployment, int seeds) {
    List<PackingRow> rows = new ArrayList<>();
    for (long seed = 1; seed <= seeds; seed++) {
      for (PackingRun.Scenario scenario : PackingRun.Scenario.values()) {
        rows.add(run(deployment, Strategies.MASTICSPREAD, scenario, seed));
      }
    }
    return rows;
  }

  private static List<String> smallerGangs(String deployment, int seeds) {
    List<String> smallerThanFirstFit = new ArrayList<>();
    for (long seed = 1; seed <= seeds; seed++) {
      for (PackingRun.Scenario scenario : PackingRun.Scenario.values()) {
        PackingRow masticspread = run(deployment, Strategies.MASTICSPREAD, scenario, seed);
        PackingRow firstFit = run(deployment, Strategies.FIRST_FIT, scenario, seed);
        if (masticspread.largestGang() < firstFit.largestGang()) {
          smallerThanFirstFit.add("seed " + seed + ": " + masticspread + " against " + firstFit);
        }
      }
    }
    return smallerThanFirstFit;
  }

  @ParameterizedTest
  @CsvSource({"mtkvari, 20", "kitami, 20", "later, 1"})
  void should_allocate_the_target_before_the_first_refusal(String deployment, int seeds) {
    assertThat(masticspread(deployment, seeds))
        .hasSize(2 * seeds)
        .allSatisfy(row -> assertThat(row.allocated()).isGreaterThanOrEqualTo(ALLOCATED_TARGET));
  }

  @ParameterizedTest
  @CsvSource({"mtkvari, 6", "later, 1"})
  void should_keep_room_for_no_smaller_gangs_than_first_fit(String deployment, int seeds) {
    assertThat(smallerGangs(deployment, seeds)).isEmpty();
  }

  @Tag("known-red")
  @ParameterizedTest
  @CsvSource({"mtkvari, 20", "kitami, 20"})
  void should_keep_room_for_no_smaller_gangs_at_any_seed(String deployment, int seeds) {
    assertThat(smallerGangs(deployment, seeds)).isEmpty();
  }

  @ParameterizedTest
  @CsvSource({"mtkvari", "kitami", "later"})
  void should_give_the_same_row_for_the_same_seed(String deployment) {
    // WHEN
    PackingRow first = run(deployment, "random", PackingRun.Scenario.FILL, 9);
    // THEN
    assertThat(run(deployment, "random", PackingRun.Scenario.FILL, 9)).isEqualTo(first);
  }

  @Test
  void should_print_a_row_for_each_decision() {
    // GIVEN
    StringWriter out = new StringWriter();
    CommandLine command = new CommandLine(new DecisionsCommand()).setOut(new PrintWriter(out));
    // WHEN
    int exit = command.execute("--seed", "1", "--json");
    // THEN
    assertThat(exit).isZero();
    assertThat(out.toString())
        .contains("\"measure\":\"decisions\"", "\"place\"", "\"release\"", "\"pick\"")
        .contains("\"gang-plan\"");
  }
}
