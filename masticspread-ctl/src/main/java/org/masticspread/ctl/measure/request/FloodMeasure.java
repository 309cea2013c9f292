package org.masticspread.ctl.measure.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.masticspread.ctl.measure.MeasureReport;

/**
 * A measure of the goodput that each work class keeps while other classes flood the cell.
 *
 * <p>Example: {@code FloodMeasure.of(1).report()}.
 */
public final class FloodMeasure {
  private static final Duration COUNTED = Duration.ofSeconds(15);

  private final RequestMeasureRunner runner;

  private FloodMeasure(RequestMeasureRunner runner) {
    this.runner = runner;
  }

  /**
   * Returns a measure of all deployments.
   *
   * @param seed the seed of the arrivals and service times
   * @return the measure
   */
  public static FloodMeasure of(long seed) {
    return new FloodMeasure(RequestMeasureRunner.of(seed, COUNTED));
  }

  /**
   * Returns a copy of this measure with other deployments and another counted time.
   *
   * @param others the other deployments
   * @param counted the period in which arriving requests are counted, on the virtual clock
   * @return the measure
   */
  public FloodMeasure withDeployments(List<Deployment> others, Duration counted) {
    return new FloodMeasure(runner.withDeployments(others, counted));
  }

  /**
   * Runs the measure.
   *
   * @return a row for each policy, deployment, scenario and work class
   */
  public MeasureReport<RequestRow> report() {
    return runner.report("flood", this::rows);
  }

  private List<RequestRow> rows(Deployment deployment) {
    List<RequestRow> rows = new ArrayList<>();
    RequestPolicies.forFloodMeasure()
        .forEach((name, factory) -> rows.addAll(rows(deployment, name, factory)));
    return rows;
  }

  private List<RequestRow> rows(
      Deployment deployment, String name, RequestPolicies.Factory factory) {
    List<RequestRow> rows = new ArrayList<>();
    Map<RequestStream, StreamResult> withoutFlood = new LinkedHashMap<>();
    for (Scenario scenario : Scenario.floods()) {
      RowFactory rowFactory = runner.rowFactory(name, deployment, scenario);
      Map<RequestStream, StreamResult> results =
          runner.run(deployment, scenario, factory).results();
      if (withoutFlood.isEmpty()) {
        withoutFlood.putAll(results);
      }
      results.forEach(
          (stream, result) ->
              rows.add(
                  rowFactory.row(
                      stream, scenario.isFlooded(stream), result, withoutFlood.get(stream))));
    }
    return rows;
  }
}
