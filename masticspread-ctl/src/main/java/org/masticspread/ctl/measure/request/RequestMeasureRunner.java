package org.masticspread.ctl.measure.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.masticspread.ctl.measure.MeasureReport;
import org.masticspread.ctl.measure.request.Simulation.Phases;

/** Runs the simulations of one measure with a common seed, deployments and phases. */
record RequestMeasureRunner(long seed, List<Deployment> deployments, Phases phases) {
  private static final Duration WARM_UP = Duration.ofSeconds(4);
  private static final Duration AFTER = Duration.ofSeconds(7);

  static RequestMeasureRunner of(long seed, Duration counted) {
    List<Deployment> all =
        List.of(Deployment.kitami(), Deployment.mtkvari(), Deployment.laterSize());
    return new RequestMeasureRunner(seed, all, phases(counted));
  }

  private static Phases phases(Duration counted) {
    return new Phases(WARM_UP, counted, AFTER);
  }

  RequestMeasureRunner withDeployments(List<Deployment> others, Duration counted) {
    return new RequestMeasureRunner(seed, others, phases(counted));
  }

  /** Returns a report with the rows of all deployments in order. */
  MeasureReport<RequestRow> report(String measure, Function<Deployment, List<RequestRow>> rows) {
    List<RequestRow> all = new ArrayList<>();
    deployments.forEach(deployment -> all.addAll(rows.apply(deployment)));
    return new MeasureReport<>(measure, seed, all);
  }

  Simulation run(Deployment deployment, Scenario scenario, RequestPolicies.Factory factory) {
    RequestPolicy policy = factory.create(deployment, seed);
    return new Simulation(deployment, scenario, policy, phases, seed);
  }

  RowFactory rowFactory(String policy, Deployment deployment, Scenario scenario) {
    return new RowFactory(policy, deployment.name(), scenario.name(), phases);
  }
}
