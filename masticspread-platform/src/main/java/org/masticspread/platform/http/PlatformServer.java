package org.masticspread.platform.http;

import com.google.common.flogger.FluentLogger;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.masticspread.model.id.EndpointId;
import org.masticspread.model.id.WorkerId;
import org.masticspread.model.platform.EndpointPort;
import org.masticspread.model.platform.MembershipList;
import org.masticspread.model.platform.ObjectStore;
import org.masticspread.model.platform.TableService;
import org.masticspread.model.platform.WorkerPort;
import org.masticspread.platform.standin.Faults;

/**
 * A server that exposes the ports of a platform over HTTP on loopback, so that processes share it.
 *
 * <p>Example: {@code PlatformServer.of(table, objects, membership, workers,
 * endpoints).withFaults(faults).listen(0)}. In the fault script, calls are named {@code
 * http/table/commit}, {@code http/workers/NAME/start}, {@code http/endpoints/NAME/run} and so on.
 * Thread-safe.
 */
public final class PlatformServer implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int MAX_REQUEST_BYTES = 64 * 1024 * 1024;
  private static final int BLOCKING_THREADS = 32;
  private static final Duration SHUTDOWN_TIMEOUT = Duration.ofSeconds(2);

  private final StandInRoutes routes;
  private final EventLoopGroup loops =
      new NioEventLoopGroup(2, new DefaultThreadFactory("platform-server", true));
  private final ExecutorService executor =
      Executors.newFixedThreadPool(
          BLOCKING_THREADS, new DefaultThreadFactory("platform-serve", true));
  private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private volatile Faults faults = Faults.none();
  private volatile Channel listener;
  private volatile int port;

  private PlatformServer(StandInRoutes routes) {
    this.routes = routes;
  }

  /**
   * Returns a server that does not listen yet.
   *
   * @param table the table service
   * @param objects the object store
   * @param membership the membership list
   * @param workers the workers
   * @param endpoints the endpoints
   * @return the server
   */
  public static PlatformServer of(
      TableService table,
      ObjectStore objects,
      MembershipList membership,
      WorkerPort workers,
      EndpointPort endpoints) {
    return new PlatformServer(new StandInRoutes(table, objects, membership, workers, endpoints));
  }

  /**
   * Sets the script of faults to inject into calls; must be called before {@link #listen}.
   *
   * @param script the script
   * @return this server
   */
  public PlatformServer withFaults(Faults script) {
    faults = script;
    return this;
  }

  /**
   * Starts listening on the loopback interface.
   *
   * @param newPort the port; 0 chooses a free port
   * @return this server
   * @throws IllegalStateException if the port cannot be bound
   */
  public PlatformServer listen(int newPort) {
    ServerHandler handler = new ServerHandler(routes, faults, executor);
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(loops)
            .channel(NioServerSocketChannel.class)
            .childHandler(initializer(handler));
    InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), newPort);
    var bound = bootstrap.bind(address).awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new IllegalStateException("cannot listen on port " + newPort, bound.cause());
    }
    listener = bound.channel();
    port = ((InetSocketAddress) listener.localAddress()).getPort();
    logger.atInfo().log("platform-server: listening on port %d", port);
    return this;
  }

  /**
   * Returns the port.
   *
   * @return the port of the latest {@link #listen}
   */
  public int port() {
    return port;
  }

  /**
   * Returns the address of the stores and the membership list.
   *
   * @return host and port
   */
  public String address() {
    return InetAddress.getLoopbackAddress().getHostAddress() + ":" + port;
  }

  /**
   * Returns the address of a worker.
   *
   * @param worker the worker
   * @return its URL
   */
  public String addressOf(WorkerId worker) {
    return "http://" + address() + "/workers/" + worker;
  }

  /**
   * Returns the address of an endpoint.
   *
   * @param endpoint the endpoint
   * @return its URL
   */
  public String addressOf(EndpointId endpoint) {
    return "http://" + address() + "/endpoints/" + endpoint;
  }

  /**
   * Returns the number of open connections.
   *
   * @return the number
   */
  public int openConnections() {
    return connections.size();
  }

  /** Stops answering on all connections that are open now; new connections work normally. */
  public void silenceOpenConnections() {
    connections.forEach(channel -> channel.attr(ServerHandler.SILENT).set(true));
  }

  /** Closes the port and all connections; {@link #listen} may be called again. */
  public void stopListening() {
    listener.close().awaitUninterruptibly();
    awaitNextSelect();
    connections.close().awaitUninterruptibly();
  }

  @Override
  public void close() {
    if (listener != null) {
      stopListening();
    }
    executor.shutdownNow();
    loops
        .shutdownGracefully(0, SHUTDOWN_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
        .awaitUninterruptibly();
  }

  /**
   * Waits for the next select of the event loop. The operating system closes the port only then and
   * accepts connections until then.
   */
  private void awaitNextSelect() {
    listener.eventLoop().schedule(() -> {}, 1, TimeUnit.MILLISECONDS).awaitUninterruptibly();
  }

  private ChannelInitializer<SocketChannel> initializer(ServerHandler handler) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(SocketChannel channel) {
        connections.add(channel);
        channel
            .pipeline()
            .addLast(new HttpServerCodec())
            .addLast(new HttpObjectAggregator(MAX_REQUEST_BYTES))
            .addLast(handler);
      }
    };
  }
}
