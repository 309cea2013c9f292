package org.masticspread.ctl.measure.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.masticspread.ctl.measure.MeasureReport;

/**
 * Measures what each work class keeps while others flood.
 *
 * <p>Example: {@code FloodMeasure.of(1).report()}.
 */
public final class FloodMeasure {
  private static final Duration COUNTED = Duration.ofSeconds(15);

  private final RequestRuns runs;

  private FloodMeasure(RequestRuns runs) {
    this.runs = runs;
  }

  /**
   * Returns the measure over all deployments.
   *
   * @param seed the seed of arrivals and service times
   * @return the measure
   */
  public static FloodMeasure of(long seed) {
    return new FloodMeasure(RequestRuns.of(seed, COUNTED));
  }

  /**
   * Returns the measure over other deployments and another time.
   *
   * @param others the deployments
   * @param counted how long arriving requests are counted, on the virtual clock
   * @return the measure
   */
  public FloodMeasure over(List<Deployment> others, Duration counted) {
    return new FloodMeasure(runs.over(others, counted));
  }

  /**
   * Runs the measure.
   *
   * @return a row per policy, deployment, scenario and work class
   */
  public MeasureReport<RequestRow> report() {
    return runs.report("flood", this::rows);
  }

  private List<RequestRow> rows(Deployment deployment) {
    List<RequestRow> rows = new ArrayList<>();
    RequestPolicies.forFloods()
        .forEach((name, factory) -> rows.addAll(rows(deployment, name, factory)));
    return rows;
  }

  private List<RequestRow> rows(
      Deployment deployment, String name, RequestPolicies.Factory factory) {
    List<RequestRow> rows = new ArrayList<>();
    Map<RequestStream, StreamResult> calm = new LinkedHashMap<>();
    for (Scenario scenario : Scenario.floods()) {
      RowMaker maker = runs.rowMaker(name, deployment, scenario);
      Map<RequestStream, StreamResult> results = runs.run(deployment, scenario, factory).results();
      if (calm.isEmpty()) {
        calm.putAll(results);
      }
      results.forEach(
          (stream, result) ->
              rows.add(maker.row(stream, scenario.isFlooded(stream), result, calm.get(stream))));
    }
    return rows;
  }
}
