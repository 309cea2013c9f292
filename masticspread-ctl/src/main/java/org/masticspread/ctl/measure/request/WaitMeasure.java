package org.masticspread.ctl.measure.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.masticspread.ctl.measure.MeasureReport;
import org.masticspread.ctl.measure.request.Run.Phases;

/**
 * Measures waiting with executor speeds eight times apart at 85 % load.
 *
 * <p>Example: {@code WaitMeasure.of(1).report()}.
 */
public final class WaitMeasure {
  private static final Duration COUNTED = Duration.ofSeconds(30);

  private final long seed;
  private final List<Deployment> deployments;
  private final Phases phases;

  private WaitMeasure(long seed, List<Deployment> deployments, Phases phases) {
    this.seed = seed;
    this.deployments = deployments;
    this.phases = phases;
  }

  /**
   * Returns the measure over all deployments.
   *
   * @param seed the seed of arrivals and service times
   * @return the measure
   */
  public static WaitMeasure of(long seed) {
    List<Deployment> all =
        List.of(Deployment.kitami(), Deployment.mtkvari(), Deployment.laterSize());
    return new WaitMeasure(seed, all, RequestPolicies.phases(COUNTED));
  }

  /**
   * Returns the measure over other deployments and another time.
   *
   * @param others the deployments
   * @param counted how long arriving requests are counted, on the virtual clock
   * @return the measure
   */
  public WaitMeasure over(List<Deployment> others, Duration counted) {
    return new WaitMeasure(seed, others, RequestPolicies.phases(counted));
  }

  /**
   * Runs the measure.
   *
   * @return a row per policy, deployment and urgency, and one for all urgencies
   */
  public MeasureReport<RequestRow> report() {
    List<RequestRow> rows = new ArrayList<>();
    for (Deployment deployment : deployments) {
      RequestPolicies.forWaits()
          .forEach((name, factory) -> rows.addAll(rows(deployment, name, factory)));
    }
    return new MeasureReport<>("wait", seed, rows);
  }

  private List<RequestRow> rows(
      Deployment deployment, String name, RequestPolicies.Factory factory) {
    RequestPolicy policy = factory.create(deployment, seed);
    Map<String, StreamResult> sums = new LinkedHashMap<>();
    sums.put("all", new StreamResult());
    new Run(deployment, Scenario.SPEEDS_APART, policy, phases, seed)
        .results()
        .forEach(
            (stream, result) -> {
              String urgency = stream.workClass().urgency().name().toLowerCase(Locale.ROOT);
              sums.get("all").add(result);
              sums.computeIfAbsent(urgency, u -> new StreamResult()).add(result);
            });
    RowMaker maker = new RowMaker(name, deployment.name(), Scenario.SPEEDS_APART.name(), phases);
    List<RequestRow> rows = new ArrayList<>();
    sums.forEach((workClass, sum) -> rows.add(maker.rowOfAll(workClass, sum)));
    return rows;
  }
}
