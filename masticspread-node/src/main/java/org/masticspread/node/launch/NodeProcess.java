package org.masticspread.node.launch;

import com.google.common.flogger.FluentLogger;
import io.reactivex.rxjava3.schedulers.Schedulers;
import java.time.InstantSource;
import java.util.concurrent.CountDownLatch;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.result.MasticspreadException;
import org.masticspread.node.api.ApiServer;
import org.masticspread.node.settings.NodeSettings;
import org.masticspread.node.settings.PlatformKind;
import org.masticspread.platform.standin.Faults;

/** Runs a node as a process: platform, interfaces, and a graceful stop by signal. */
public final class NodeProcess {
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  private NodeProcess() {}

  /**
   * Runs a node until it is stopped.
   *
   * @param settings the checked settings
   * @return the exit code
   * @throws MasticspreadException if the node can't start
   */
  public static int run(NodeSettings settings) throws MasticspreadException {
    InstantSource clock = InstantSource.system();
    Platform platform = platform(settings, clock);
    Node node = Node.of(settings, platform, clock);
    ApiServer api =
        ApiServer.with(node.routes(), node.metrics())
            .limits(settings.maxBodyBytes())
            .listen(settings.listenApi(), node.executor());
    node.start();
    seed(settings, node);
    CountDownLatch stop = new CountDownLatch(1);
    Runtime.getRuntime().addShutdownHook(new Thread(stop::countDown));
    await(stop);
    api.close();
    node.close();
    return 0;
  }

  private static Platform platform(NodeSettings settings, InstantSource clock)
      throws MasticspreadException {
    if (settings.platform() == PlatformKind.EMBEDDED) {
      Configuration cell = EmbeddedCell.named(settings.embeddedCell());
      return EmbeddedPlatform.of(cell, clock, Schedulers.computation(), Faults.none()).ports();
    }
    throw new UnsupportedOperationException("http");
  }

  /** Gives an embedded platform the configuration of its cell, unless it has one. */
  private static void seed(NodeSettings settings, Node node) throws MasticspreadException {
    if (settings.platform() != PlatformKind.EMBEDDED) {
      return;
    }
    node.config().poll();
    if (node.config().inForce().revision() == 0) {
      Configuration cell = EmbeddedCell.named(settings.embeddedCell());
      node.config().apply(0, cell, "embedded", "example cell " + settings.embeddedCell());
    }
  }

  private static void await(CountDownLatch stop) {
    try {
      stop.await();
    } catch (InterruptedException e) {
      LOG.atInfo().log("node: interrupted");
    }
  }
}
