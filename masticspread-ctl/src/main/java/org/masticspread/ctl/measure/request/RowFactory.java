package org.masticspread.ctl.measure.request;

import org.masticspread.ctl.measure.request.Simulation.Phases;

/** Creates the rows of one run. */
record RowFactory(String policy, String deployment, String scenario, Phases phases) {
  private static final String ALL = "all";
  private static final double P50 = 50;
  private static final double P99 = 99;

  RequestRow row(
      RequestStream stream, boolean flooded, StreamResult result, StreamResult withoutFlood) {
    String team = stream.workClass().team().value();
    return toRow(team, stream.workClass().name().value(), flooded, result, withoutFlood);
  }

  RequestRow rowOfAll(String workClass, StreamResult result) {
    return toRow(ALL, workClass, false, result, result);
  }

  private RequestRow toRow(
      String team,
      String workClass,
      boolean flooded,
      StreamResult result,
      StreamResult withoutFlood) {
    double seconds = phases.counted().toNanos() / 1e9;
    return new RequestRow(
        policy,
        deployment,
        scenario,
        team,
        workClass,
        flooded,
        result.offered(),
        result.inTime() / seconds,
        withoutFlood.inTime() == 0 ? 0 : (double) result.inTime() / withoutFlood.inTime(),
        result.waitMs(P50),
        result.waitMs(P99),
        result.responseMs(P99),
        result.deadlinesMet());
  }
}
