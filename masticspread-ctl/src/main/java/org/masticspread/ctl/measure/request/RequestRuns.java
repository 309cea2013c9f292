package org.masticspread.ctl.measure.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.masticspread.ctl.measure.MeasureReport;
import org.masticspread.ctl.measure.request.Run.Phases;

/** What the runs of one measure have in common. */
record RequestRuns(long seed, List<Deployment> deployments, Phases phases) {
  private static final Duration WARM_UP = Duration.ofSeconds(4);
  private static final Duration AFTER = Duration.ofSeconds(7);

  static RequestRuns of(long seed, Duration counted) {
    List<Deployment> all =
        List.of(Deployment.kitami(), Deployment.mtkvari(), Deployment.laterSize());
    return new RequestRuns(seed, all, phases(counted));
  }

  private static Phases phases(Duration counted) {
    return new Phases(WARM_UP, counted, AFTER);
  }

  RequestRuns over(List<Deployment> others, Duration counted) {
    return new RequestRuns(seed, others, phases(counted));
  }

  /** Reports the rows of each deployment in turn. */
  MeasureReport<RequestRow> report(String measure, Function<Deployment, List<RequestRow>> rows) {
    List<RequestRow> all = new ArrayList<>();
    deployments.forEach(deployment -> all.addAll(rows.apply(deployment)));
    return new MeasureReport<>(measure, seed, all);
  }

  Run run(Deployment deployment, Scenario scenario, RequestPolicies.Factory factory) {
    RequestPolicy policy = factory.create(deployment, seed);
    return new Run(deployment, scenario, policy, phases, seed);
  }

  RowMaker rowMaker(String policy, Deployment deployment, Scenario scenario) {
    return new RowMaker(policy, deployment.name(), scenario.name(), phases);
  }
}
