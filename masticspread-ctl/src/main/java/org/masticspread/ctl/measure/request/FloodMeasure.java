package org.masticspread.ctl.measure.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.masticspread.ctl.measure.MeasureReport;
import org.masticspread.ctl.measure.request.Run.Phases;

/**
 * Measures what each work class keeps while others flood.
 *
 * <p>Example: {@code FloodMeasure.of(1).over(List.of(Deployment.kitami())).report()}.
 */
public final class FloodMeasure {
  private static final Duration COUNTED = Duration.ofSeconds(15);

  private final long seed;
  private final List<Deployment> deployments;
  private final Phases phases;

  private FloodMeasure(long seed, List<Deployment> deployments, Phases phases) {
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
  public static FloodMeasure of(long seed) {
    List<Deployment> all =
        List.of(Deployment.kitami(), Deployment.mtkvari(), Deployment.laterSize());
    return new FloodMeasure(seed, all, RequestPolicies.phases(COUNTED));
  }

  /**
   * Returns the measure over other deployments.
   *
   * @param others the deployments
   * @return the measure
   */
  public FloodMeasure over(List<Deployment> others) {
    return new FloodMeasure(seed, others, phases);
  }

  /**
   * Returns the measure over another time.
   *
   * @param counted how long arriving requests are counted, on the virtual clock
   * @return the measure
   */
  public FloodMeasure lasting(Duration counted) {
    return new FloodMeasure(seed, deployments, RequestPolicies.phases(counted));
  }

  /**
   * Runs the measure.
   *
   * @return a row per policy, deployment, scenario and work class
   */
  public MeasureReport<RequestRow> report() {
    List<RequestRow> rows = new ArrayList<>();
    for (Deployment deployment : deployments) {
      RequestPolicies.forFloods()
          .forEach((name, factory) -> rows.addAll(rows(deployment, name, factory)));
    }
    return new MeasureReport<>("flood", seed, rows);
  }

  private List<RequestRow> rows(
      Deployment deployment, String name, RequestPolicies.Factory factory) {
    List<RequestRow> rows = new ArrayList<>();
    Map<RequestStream, StreamResult> calm = new LinkedHashMap<>();
    for (Scenario scenario : Scenario.floods()) {
      RequestPolicy policy = factory.create(deployment, seed);
      Map<RequestStream, StreamResult> results =
          new Run(deployment, scenario, policy, phases, seed).results();
      if (calm.isEmpty()) {
        calm.putAll(results);
      }
      results.forEach(
          (stream, result) -> {
            boolean flooded = scenario.isFlooded(stream);
            RowMaker maker = new RowMaker(name, deployment.name(), scenario.name(), phases);
            rows.add(maker.row(stream, flooded, result, calm.get(stream)));
          });
    }
    return rows;
  }
}
