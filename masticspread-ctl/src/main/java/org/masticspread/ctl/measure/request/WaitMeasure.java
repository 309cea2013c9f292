package org.masticspread.ctl.measure.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.masticspread.ctl.measure.MeasureReport;

/**
 * Measures waiting with executor speeds eight times apart at 85 % load.
 *
 * <p>Example: {@code WaitMeasure.of(1).report()}.
 */
public final class WaitMeasure {
  private static final Duration COUNTED = Duration.ofSeconds(30);
  private static final String ALL = "all";

  private final RequestRuns runs;

  private WaitMeasure(RequestRuns runs) {
    this.runs = runs;
  }

  /**
   * Returns the measure over all deployments.
   *
   * @param seed the seed of arrivals and service times
   * @return the measure
   */
  public static WaitMeasure of(long seed) {
    return new WaitMeasure(RequestRuns.of(seed, COUNTED));
  }

  /**
   * Returns the measure over other deployments and another time.
   *
   * @param others the deployments
   * @param counted how long arriving requests are counted, on the virtual clock
   * @return the measure
   */
  public WaitMeasure over(List<Deployment> others, Duration counted) {
    return new WaitMeasure(runs.over(others, counted));
  }

  /**
   * Runs the measure.
   *
   * @return a row per policy, deployment and urgency, and one for all urgencies
   */
  public MeasureReport<RequestRow> report() {
    return runs.report("wait", this::rows);
  }

  private List<RequestRow> rows(Deployment deployment) {
    List<RequestRow> rows = new ArrayList<>();
    RequestPolicies.forWaits()
        .forEach(
            (name, factory) -> {
              RowMaker maker = runs.rowMaker(name, deployment, Scenario.SPEEDS_APART);
              sums(deployment, factory)
                  .forEach((workClass, sum) -> rows.add(maker.rowOfAll(workClass, sum)));
            });
    return rows;
  }

  private Map<String, StreamResult> sums(Deployment deployment, RequestPolicies.Factory factory) {
    Map<String, StreamResult> sums = new LinkedHashMap<>();
    sums.put(ALL, new StreamResult());
    runs.run(deployment, Scenario.SPEEDS_APART, factory)
        .results()
        .forEach(
            (stream, result) -> {
              String urgency = stream.workClass().urgency().name().toLowerCase(Locale.ROOT);
              sums.get(ALL).add(result);
              sums.computeIfAbsent(urgency, u -> new StreamResult()).add(result);
            });
    return sums;
  }
}
