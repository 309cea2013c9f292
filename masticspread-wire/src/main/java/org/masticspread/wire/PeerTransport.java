package org.masticspread.wire;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.schedulers.Schedulers;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.masticspread.model.id.VmId;
import org.masticspread.model.peer.PeerHandler;
import org.masticspread.wire.internal.ClusterKey;
import org.masticspread.wire.internal.Listener;
import org.masticspread.wire.internal.Wire;
import org.masticspread.wire.internal.WireMetrics;

/**
 * The entry to the inner protocol of one VM.
 *
 * <p>Example: {@code PeerTransport peers = PeerTransport.create(WireSettings.defaults(), self,
 * key); PeerServer server = peers.listen(address, handler); PeerClient client =
 * peers.connect(addresses);}. Close client and server before this. Set up before the first listen
 * or connect; thread-safe then.
 */
public final class PeerTransport implements AutoCloseable {
  private static final int LOOP_THREADS = 2;
  private static final int HANDLER_THREADS = 32;
  private static final int COMPLETION_THREADS = 4;
  private static final int MOST_WAITING_HANDLERS = 8192;
  private static final int IDLE_SECONDS = 10;
  private static final Duration STOP_TIME = Duration.ofSeconds(2);

  private final WireSettings settings;
  private final VmId self;
  private final ClusterKey key;
  private final EventLoopGroup loops =
      new NioEventLoopGroup(LOOP_THREADS, new DefaultThreadFactory("wire-loop", true));
  private final ExecutorService completions =
      pool("wire-answer", COMPLETION_THREADS, Integer.MAX_VALUE);
  private final ExecutorService ownHandlers =
      pool("wire-handler", HANDLER_THREADS, MOST_WAITING_HANDLERS);
  private Executor handlers = ownHandlers;
  private String address = "";
  private MetricRegistry metrics = new MetricRegistry();
  private Scheduler timers = Schedulers.computation();

  private PeerTransport(WireSettings settings, VmId self, ClusterKey key) {
    this.settings = settings;
    this.self = self;
    this.key = key;
  }

  /**
   * Returns the entry of a VM.
   *
   * @param settings the limits
   * @param self this VM
   * @param clusterKey the key that all VMs share, at least 16 bytes
   * @return the entry
   * @throws IllegalArgumentException if the key is too short
   */
  public static PeerTransport create(WireSettings settings, VmId self, byte[] clusterKey) {
    return new PeerTransport(settings, self, new ClusterKey(clusterKey));
  }

  /**
   * Sets where peers reach this VM, told in each handshake.
   *
   * @param hostAndPort the address
   * @return this entry
   */
  public PeerTransport advertisedAddress(String hostAndPort) {
    address = hostAndPort;
    return this;
  }

  /**
   * Sets the registry of the counters, which are named {@code wire.*}.
   *
   * @param registry the registry
   * @return this entry
   */
  public PeerTransport metrics(MetricRegistry registry) {
    metrics = registry;
    return this;
  }

  /**
   * Sets what runs heartbeats and timeouts.
   *
   * @param scheduler the scheduler
   * @return this entry
   */
  public PeerTransport scheduler(Scheduler scheduler) {
    timers = scheduler;
    return this;
  }

  /**
   * Sets what runs handlers; without it 32 threads do, and 8192 calls wait for them.
   *
   * @param executor the executor; a rejected call is answered as certainly not done
   * @return this entry
   */
  public PeerTransport handlerExecutor(Executor executor) {
    handlers = executor;
    return this;
  }

  /**
   * Starts to answer calls.
   *
   * @param listenOn where to listen; port 0 for a free one
   * @param handler answers the calls
   * @return the server
   * @throws IOException if the address cannot be taken
   */
  public PeerServer listen(InetSocketAddress listenOn, PeerHandler handler) throws IOException {
    return new PeerServer(new Listener(wire(), loops, handler, listenOn));
  }

  /**
   * Returns a client; it connects to a peer with the first call.
   *
   * @param addresses tells where a peer listens; asked at each attempt
   * @return the client
   */
  public PeerClient connect(Function<VmId, Optional<InetSocketAddress>> addresses) {
    return new PeerClient(wire(), loops, addresses);
  }

  /** Stops all threads. */
  @Override
  public void close() {
    loops.shutdownGracefully(0, STOP_TIME.toMillis(), TimeUnit.MILLISECONDS).awaitUninterruptibly();
    ownHandlers.shutdown();
    completions.shutdown();
  }

  private Wire wire() {
    return new Wire(
        settings, self, address, key, new WireMetrics(metrics), timers, handlers, completions);
  }

  private static ExecutorService pool(String name, int threads, int queue) {
    ThreadPoolExecutor pool =
        new ThreadPoolExecutor(
            threads,
            threads,
            IDLE_SECONDS,
            TimeUnit.SECONDS,
            new LinkedBlockingQueue<>(queue),
            new DefaultThreadFactory(name, true));
    pool.allowCoreThreadTimeOut(true);
    return pool;
  }
}
