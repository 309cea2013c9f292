package org.masticspread.wire;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.schedulers.Schedulers;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.masticspread.model.id.VmId;
import org.masticspread.model.peer.PeerException;
import org.masticspread.model.peer.PeerHandler;
import org.masticspread.model.peer.PeerMessage;

/** Fixture with a client and a server connected through a frame proxy. */
final class WireFixture implements AutoCloseable {
  static final VmId A = VmId.of("a");
  static final VmId B = VmId.of("b");
  static final byte[] KEY = "0123456789abcdef".getBytes(StandardCharsets.UTF_8);
  static final Duration LONG_TIMEOUT = Duration.ofSeconds(60);
  static final WireSettings SETTINGS =
      new WireSettings(
          Duration.ofMinutes(5),
          Duration.ofSeconds(20),
          100_000,
          4,
          1_000_000,
          Duration.ofMillis(1),
          Duration.ofMillis(2),
          Duration.ofSeconds(20));

  final MetricRegistry clientMetrics = new MetricRegistry();
  final MetricRegistry serverMetrics = new MetricRegistry();
  final PeerTransport clientPeers;
  final PeerTransport serverPeers;
  final PeerServer server;
  final FrameProxy proxy;
  final PeerClient client;

  WireFixture(WireSettings settings, byte[] clientKey, Scheduler timers, PeerHandler handler)
      throws IOException {
    serverPeers =
        PeerTransport.create(settings, B, KEY)
            .metrics(serverMetrics)
            .scheduler(Schedulers.computation());
    InetAddress loopback = InetAddress.getLoopbackAddress();
    server = serverPeers.listen(new InetSocketAddress(loopback, 0), handler);
    proxy = new FrameProxy(server.address());
    clientPeers =
        PeerTransport.create(settings, A, clientKey).metrics(clientMetrics).scheduler(timers);
    client = clientPeers.connect(vm -> Optional.of(proxy.address()));
  }

  static WireFixture of(PeerHandler handler) throws IOException {
    return new WireFixture(SETTINGS, KEY, Schedulers.computation(), handler);
  }

  CompletionStage<PeerMessage> call(PeerMessage message) {
    return client.call(B, message, LONG_TIMEOUT);
  }

  long count(MetricRegistry registry, String name) {
    return registry.counter(name).getCount();
  }

  static PeerMessage answer(CompletionStage<PeerMessage> stage) throws Exception {
    return stage.toCompletableFuture().get(60, TimeUnit.SECONDS);
  }

  /** Returns the error of a call. */
  static PeerException error(CompletionStage<PeerMessage> stage) throws Exception {
    CompletableFuture<PeerMessage> future = stage.toCompletableFuture();
    try {
      throw new AssertionError("answered: " + future.get(60, TimeUnit.SECONDS));
    } catch (ExecutionException e) {
      return (PeerException) e.getCause();
    }
  }

  static void await(BooleanSupplier condition) {
    long end = System.nanoTime() + LONG_TIMEOUT.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() - end > 0) {
        throw new AssertionError("the condition did not come true");
      }
      Thread.onSpinWait();
    }
  }

  @Override
  public void close() throws IOException {
    proxy.close();
    client.close();
    server.close();
    clientPeers.close();
    serverPeers.close();
  }
}
