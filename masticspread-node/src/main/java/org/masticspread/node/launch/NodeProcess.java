package org.masticspread.node.launch;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.result.MasticspreadException;
import org.masticspread.model.result.ResultCode;
import org.masticspread.node.api.ApiServer;
import org.masticspread.node.settings.NodeSettings;
import org.masticspread.node.settings.PlatformKind;
import org.masticspread.node.stop.GracefulStop;
import org.masticspread.platform.http.PlatformServer;
import org.masticspread.platform.standin.Faults;
import sun.misc.Signal;

/** Process of a node: sets up the platform and the interfaces, and stops gracefully on a signal. */
public final class NodeProcess {
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
  private static final int EXIT_WORK_LEFT = 3;
  private static final Duration STOP_STEP_INTERVAL = Duration.ofMillis(50);
  private static final int STOP_NOTICE_GOSSIP_INTERVALS = 3;

  private final NodeSettings settings;
  private final InstantSource clock = InstantSource.system();
  private final Threads threads = Threads.real();
  private final CountDownLatch stop = new CountDownLatch(1);
  private final AtomicReference<GracefulStop> stopping = new AtomicReference<>();

  private NodeProcess(NodeSettings settings) {
    this.settings = settings;
  }

  /**
   * Runs a node until it is stopped by SIGTERM or SIGINT.
   *
   * @param settings the validated settings
   * @return the exit code
   * @throws MasticspreadException if the node cannot start
   */
  public static int run(NodeSettings settings) throws MasticspreadException {
    return new NodeProcess(settings).run();
  }

  private int run() throws MasticspreadException {
    AtomicReference<Node> node = new AtomicReference<>();
    Platform platform = platform(() -> node.get().config().inForce());
    node.set(Node.of(settings, platform, clock, threads));
    try (PeerLink peers = PeerLink.open(settings, node.get(), threads.timers());
        ApiServer api = listen(node.get())) {
      LOG.atInfo().log(
          "node: listening for peers at %s and for API calls on port %d",
          peers.address(), api.port());
      node.get().start();
      applyExampleCell(node.get());
      Signal.handle(new Signal("TERM"), s -> onSignal());
      Signal.handle(new Signal("INT"), s -> onSignal());
      stop.await();
      return stop(node.get());
    } catch (InterruptedException e) {
      throw new MasticspreadException(ResultCode.INTERNAL_ERROR, "interrupted", e);
    } finally {
      node.get().close();
    }
  }

  private ApiServer listen(Node node) {
    return ApiServer.with(node.routes(), node.metrics())
        .limits(settings.maxBodyBytes())
        .listen(settings.listenApi(), threads.blocking());
  }

  private Platform platform(Supplier<Configuration> inForce) throws MasticspreadException {
    if (settings.platform() == PlatformKind.HTTP) {
      return HttpPlatform.at(settings.platformUrl(), inForce);
    }
    Configuration cell = EmbeddedCell.named(settings.embeddedCell());
    Platform ports = EmbeddedPlatform.of(cell, clock, threads.timers(), Faults.none()).ports();
    if (settings.platformListen() != null) {
      PlatformServer.of(
              ports.table(),
              ports.objects(),
              ports.membership(),
              ports.workers(),
              ports.endpoints())
          .listen(settings.platformListen().port());
    }
    return ports;
  }

  /**
   * Applies the configuration of the example cell to an embedded platform that has no configuration
   * yet.
   */
  private void applyExampleCell(Node node) throws MasticspreadException {
    if (settings.platform() != PlatformKind.EMBEDDED) {
      return;
    }
    node.config().poll();
    if (node.config().inForce().revision() == 0) {
      Configuration cell = EmbeddedCell.named(settings.embeddedCell());
      node.config().apply(0, cell, "embedded", "example cell " + settings.embeddedCell());
    }
  }

  private void onSignal() {
    GracefulStop running = stopping.get();
    if (running != null) {
      running.force();
    }
    stop.countDown();
  }

  private int stop(Node node) throws InterruptedException {
    NodeSettings.Timing timing = settings.timing();
    GracefulStop graceful =
        new GracefulStop(
            node,
            clock,
            timing.stopWithin(),
            timing.gossip().multipliedBy(STOP_NOTICE_GOSSIP_INTERVALS));
    stopping.set(graceful);
    while (!graceful.step()) {
      TimeUnit.MILLISECONDS.sleep(STOP_STEP_INTERVAL.toMillis());
    }
    return graceful.isComplete() ? 0 : EXIT_WORK_LEFT;
  }
}
