package org.masticspread.node.launch;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.function.LongSupplier;
import org.masticspread.node.config.NodeConfig;
import org.masticspread.node.job.JobShards;
import org.masticspread.node.rack.RackOwner;
import org.masticspread.node.request.EndpointHome;

/** Gauges of a node; {@code docs/METRICS.md} describes them. */
final class NodeGauges {
  private NodeGauges() {}

  static void register(
      MetricRegistry metrics,
      NodeState state,
      NodeConfig config,
      JobShards jobs,
      RackOwner racks,
      EndpointHome home) {
    gauge(metrics, "jobs.waiting", jobs::waitingTasks);
    gauge(metrics, "racks.running", racks::runningTasks);
    gauge(metrics, "home.slots", () -> home.digest().slots());
    gauge(metrics, "home.busy", () -> home.digest().busy());
    gauge(metrics, "home.queued", () -> home.digest().queued());
    gauge(metrics, "shards.owned", () -> state.held().size());
    gauge(metrics, "config.revision", () -> config.inForce().revision());
    gauge(metrics, "session.storeReached", () -> state.storeReached() ? 1 : 0);
  }

  private static void gauge(MetricRegistry metrics, String name, LongSupplier value) {
    Gauge<Long> gauge = value::getAsLong;
    metrics.register(name, gauge);
  }
}
