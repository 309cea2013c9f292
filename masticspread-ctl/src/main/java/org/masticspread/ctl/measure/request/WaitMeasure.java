package org.masticspread.ctl.measure.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.masticspread.ctl.measure.MeasureReport;

/**
 * A measure of waiting times at 85 % load with executor speeds that differ by a factor of up to
 * eight.
 *
 * <p>Example: {@code WaitMeasure.of(1).report()}.
 */
public final class WaitMeasure {
  private static final Duration COUNTED = Duration.ofSeconds(30);
  private static final String ALL = "all";

  private final RequestMeasureRunner runner;

  private WaitMeasure(RequestMeasureRunner runner) {
    this.runner = runner;
  }

  /**
   * Returns a measure of all deployments.
   *
   * @param seed the seed of the arrivals and service times
   * @return the measure
   */
  public static WaitMeasure of(long seed) {
    return new WaitMeasure(RequestMeasureRunner.of(seed, COUNTED));
  }

  /**
   * Returns a copy of this measure with other deployments and another counted time.
   *
   * @param others the other deployments
   * @param counted the period in which arriving requests are counted, on the virtual clock
   * @return the measure
   */
  public WaitMeasure withDeployments(List<Deployment> others, Duration counted) {
    return new WaitMeasure(runner.withDeployments(others, counted));
  }

  /**
   * Runs the measure.
   *
   * @return a row for each policy, deployment and urgency, and one for all urgencies
   */
  public MeasureReport<RequestRow> report() {
    return runner.report("wait", this::rows);
  }

  private List<RequestRow> rows(Deployment deployment) {
    List<RequestRow> rows = new ArrayList<>();
    RequestPolicies.forWaitMeasure()
        .forEach(
            (name, factory) -> {
              RowFactory rowFactory = runner.rowFactory(name, deployment, Scenario.MIXED_SPEEDS);
              sums(deployment, factory)
                  .forEach((workClass, sum) -> rows.add(rowFactory.rowOfAll(workClass, sum)));
            });
    return rows;
  }

  private Map<String, StreamResult> sums(Deployment deployment, RequestPolicies.Factory factory) {
    Map<String, StreamResult> sums = new LinkedHashMap<>();
    sums.put(ALL, new StreamResult());
    runner
        .run(deployment, Scenario.MIXED_SPEEDS, factory)
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
