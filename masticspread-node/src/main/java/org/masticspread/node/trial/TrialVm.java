package org.masticspread.node.trial;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Map;
import org.masticspread.model.id.DataCentreId;
import org.masticspread.model.id.VmId;
import org.masticspread.node.launch.Node;
import org.masticspread.node.launch.Platform;
import org.masticspread.node.launch.Threads;
import org.masticspread.node.settings.HostPort;
import org.masticspread.node.settings.NodeSettings;
import org.masticspread.node.settings.PlatformKind;
import org.masticspread.node.stop.GracefulStop;
import org.masticspread.platform.standin.VirtualTime;

/** Incarnation of a VM in a trial. */
final class TrialVm {
  private static final Duration STOP_STEP_INTERVAL = Duration.ofMillis(50);
  private static final int STOP_NOTICE_GOSSIP_INTERVALS = 3;
  private static final int PEER_PORT = 7081;
  private static final int WORK_SHARDS = 32;
  private static final int STORE_WRITES_PER_SECOND = 200;
  private static final int MAX_BODY_BYTES = 1 << 20;
  private static final NodeSettings.Timing TIMING =
      new NodeSettings.Timing(
          Duration.ofSeconds(1),
          Duration.ofSeconds(5),
          Duration.ofSeconds(1),
          Duration.ofSeconds(10),
          Duration.ofMillis(500),
          Duration.ofHours(3),
          Duration.ofMinutes(1),
          Duration.ofSeconds(30));

  private final VmId id;
  private final VmGate gate;
  private final Node node;
  private final GracefulStop stop;
  private boolean stopping;

  TrialVm(
      VmId id, VirtualTime time, VmGate gate, Platform platform, TrialNetwork network, long seed) {
    this.id = id;
    this.gate = gate;
    GateScheduler scheduler = new GateScheduler(gate);
    Threads threads =
        new Threads(
            scheduler,
            scheduler,
            task -> gate.after(Duration.ZERO, task),
            () -> nanos(time),
            seed,
            () -> {});
    node = Node.of(settings(id), platform, time, threads);
    node.connect(network.portOf(id, gate), id + ":" + PEER_PORT);
    network.connect(id, gate, node.handler());
    stop =
        new GracefulStop(
            node,
            time,
            TIMING.stopWithin(),
            TIMING.gossip().multipliedBy(STOP_NOTICE_GOSSIP_INTERVALS));
  }

  private static long nanos(InstantSource time) {
    return Duration.between(TrialCell.START, time.instant()).toNanos();
  }

  private static NodeSettings settings(VmId vm) {
    return new NodeSettings(
        vm,
        DataCentreId.of("dc-1"),
        new HostPort("127.0.0.1", 0),
        new HostPort("127.0.0.1", PEER_PORT),
        PlatformKind.EMBEDDED,
        "",
        null,
        "kitami",
        "trial-cluster-key",
        Map.of(),
        WORK_SHARDS,
        TIMING,
        STORE_WRITES_PER_SECOND,
        MAX_BODY_BYTES,
        false);
  }

  VmId id() {
    return id;
  }

  VmGate gate() {
    return gate;
  }

  Node node() {
    return node;
  }

  boolean acceptsWork() {
    return gate.isResponsive() && !stopping;
  }

  void start() {
    gate.run(node::start);
  }

  /** Begins a graceful stop; the VM ends when the stop is over. */
  void stop() {
    stopping = true;
    gate.run(this::stepStop);
  }

  private void stepStop() {
    if (!stop.step()) {
      gate.after(STOP_STEP_INTERVAL, this::stepStop);
      return;
    }
    node.close();
    gate.end();
  }

  boolean stoppedCompletely() {
    return gate.isEnded() && stop.isComplete();
  }
}
