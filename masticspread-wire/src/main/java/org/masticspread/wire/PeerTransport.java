package org.masticspread.wire;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.schedulers.Schedulers;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Predicate;
import org.masticspread.model.id.VmId;
import org.masticspread.model.peer.PeerHandler;
import org.masticspread.wire.internal.ClusterKey;
import org.masticspread.wire.internal.Listener;
import org.masticspread.wire.internal.WireContext;
import org.masticspread.wire.internal.WireMetrics;

/**
 * The transport of the peer protocol on one VM, which creates servers and clients.
 *
 * <p>Example: {@code PeerTransport peers = PeerTransport.create(WireSettings.defaults(), self,
 * key); PeerServer server = peers.listen(address, handler); PeerClient client =
 * peers.connect(addresses);}. Close client and server before the transport. Configure it before the
 * first call of {@link #listen} or {@link #connect}; it is thread-safe afterwards.
 */
public final class PeerTransport implements AutoCloseable {
  private static final int LOOP_THREADS = 2;
  private static final int HANDLER_THREADS = 32;
  private static final int COMPLETION_THREADS = 4;
  private static final int MAX_QUEUED_CALLS = 8192;
  private static final int IDLE_THREAD_SECONDS = 10;
  private static final Duration SHUTDOWN_TIMEOUT = Duration.ofSeconds(2);

  private final WireSettings settings;
  private final VmId self;
  private final ClusterKey key;
  private final EventLoopGroup loops =
      new NioEventLoopGroup(LOOP_THREADS, new DefaultThreadFactory("wire-loop", true));
  private final ExecutorService completions =
      pool("wire-answer", COMPLETION_THREADS, Integer.MAX_VALUE);
  private final ExecutorService ownHandlers =
      pool("wire-handler", HANDLER_THREADS, MAX_QUEUED_CALLS);
  private Executor handlers = ownHandlers;
  private String address = "";
  private MetricRegistry metrics = new MetricRegistry();
  private Predicate<SocketAddress> otherRegion = peer -> false;
  private Scheduler timers = Schedulers.computation();

  private PeerTransport(WireSettings settings, VmId self, ClusterKey key) {
    this.settings = settings;
    this.self = self;
    this.key = key;
  }

  /**
   * Creates the transport of a VM.
   *
   * @param settings the settings
   * @param self this VM
   * @param clusterKey the key shared by all VMs, at least 16 bytes
   * @return the transport
   * @throws IllegalArgumentException if the key is too short
   */
  public static PeerTransport create(WireSettings settings, VmId self, byte[] clusterKey) {
    return new PeerTransport(settings, self, new ClusterKey(clusterKey));
  }

  /**
   * Sets the address at which peers reach this VM, which is sent in each handshake.
   *
   * @param hostAndPort the address as host and port
   * @return this transport
   */
  public PeerTransport advertisedAddress(String hostAndPort) {
    address = hostAndPort;
    return this;
  }

  /**
   * Sets the registry of the counters, which are named {@code wire.*}, {@code bytes.out.peer.*} and
   * {@code bytes.in.peer.*}.
   *
   * @param registry the registry
   * @return this transport
   */
  public PeerTransport metrics(MetricRegistry registry) {
    metrics = registry;
    return this;
  }

  /**
   * Sets which peers are in another region; their bytes are counted as {@code bytes.out.region.*}
   * and {@code bytes.in.region.*}. By default, none is.
   *
   * @param test tests the address of a peer on any thread; it may be null for a closed connection
   * @return this transport
   */
  public PeerTransport otherRegion(Predicate<SocketAddress> test) {
    otherRegion = test;
    return this;
  }

  /**
   * Sets the scheduler for heartbeats and timeouts.
   *
   * @param scheduler the scheduler
   * @return this transport
   */
  public PeerTransport scheduler(Scheduler scheduler) {
    timers = scheduler;
    return this;
  }

  /**
   * Sets the executor of handlers. The default executor has 32 threads and a queue of 8192 calls.
   *
   * @param executor the executor; a call that it rejects fails as certainly without effect
   * @return this transport
   */
  public PeerTransport handlerExecutor(Executor executor) {
    handlers = executor;
    return this;
  }

  /**
   * Starts a server.
   *
   * @param listenOn the address to listen on; port 0 selects a free port
   * @param handler answers the calls
   * @return the server
   * @throws IOException if the address cannot be bound
   */
  public PeerServer listen(InetSocketAddress listenOn, PeerHandler handler) throws IOException {
    return new PeerServer(new Listener(wire(), loops, handler, listenOn));
  }

  /**
   * Creates a client, which connects to a peer at the first call.
   *
   * @param addresses returns the address of a peer; called at each attempt to connect
   * @return the client
   */
  public PeerClient connect(Function<VmId, Optional<InetSocketAddress>> addresses) {
    return new PeerClient(wire(), loops, addresses);
  }

  /** Stops all threads. */
  @Override
  public void close() {
    loops
        .shutdownGracefully(0, SHUTDOWN_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
        .awaitUninterruptibly();
    ownHandlers.shutdown();
    completions.shutdown();
  }

  private WireContext wire() {
    return new WireContext(
        settings,
        self,
        address,
        key,
        new WireMetrics(metrics, otherRegion),
        timers,
        handlers,
        completions);
  }

  private static ExecutorService pool(String name, int threads, int queue) {
    ThreadPoolExecutor pool =
        new ThreadPoolExecutor(
            threads,
            threads,
            IDLE_THREAD_SECONDS,
            TimeUnit.SECONDS,
            new LinkedBlockingQueue<>(queue),
            new DefaultThreadFactory(name, true));
    pool.allowCoreThreadTimeOut(true);
    return pool;
  }
}
