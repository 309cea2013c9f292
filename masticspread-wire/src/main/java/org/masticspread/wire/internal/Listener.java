package org.masticspread.wire.internal;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import org.masticspread.model.peer.PeerHandler;

/** Accepts connections of peers. Thread-safe. */
public final class Listener {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final Wire wire;
  private final PeerHandler handler;
  private final CallCount inFlight = new CallCount();
  private final ChannelGroup peers = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final Channel channel;
  private volatile boolean stopping;

  /**
   * Starts to listen.
   *
   * @param wire what all connections share
   * @param loops runs the connections
   * @param handler answers the calls
   * @param address where to listen
   * @throws IOException if the address cannot be taken
   */
  public Listener(Wire wire, EventLoopGroup loops, PeerHandler handler, InetSocketAddress address)
      throws IOException {
    this.wire = wire;
    this.handler = handler;
    var bound = Connections.server(wire, loops, this::handshake).bind(address);
    if (!bound.awaitUninterruptibly().isSuccess()) {
      throw new IOException("cannot listen on " + address, bound.cause());
    }
    this.channel = bound.channel();
    logger.atInfo().log("wire: listens on %s", channel.localAddress());
  }

  /**
   * Returns where it listens.
   *
   * @return the address with its real port
   */
  public InetSocketAddress address() {
    return (InetSocketAddress) channel.localAddress();
  }

  /** Refuses new calls, ends those in flight within the bound, then closes all connections. */
  public void close() {
    stopping = true;
    channel.close().awaitUninterruptibly();
    peers.writeAndFlush(Frame.control(Frame.GOODBYE));
    int left = inFlight.awaitNone(wire.settings().closeTimeout());
    if (left > 0) {
      logger.atWarning().log("wire: closes with %d calls in flight", left);
    }
    for (Channel peer : peers) {
      peer.writeAndFlush(Frame.control(Frame.GOODBYE)).addListener(ChannelFutureListener.CLOSE);
    }
    peers.newCloseFuture().awaitUninterruptibly(wire.settings().heartbeat().toMillis());
    peers.close().awaitUninterruptibly();
  }

  private Handshake handshake() {
    return new AcceptHandshake();
  }

  /** The handshake that adds the calls of the peer behind it. */
  private final class AcceptHandshake extends ServerHandshake {
    AcceptHandshake() {
      super(Listener.this.wire);
    }

    @Override
    void authenticated(ChannelHandlerContext context) {
      peers.add(context.channel());
      context.pipeline().addLast(new ServerCalls(wire, peer(), handler, inFlight, () -> stopping));
    }
  }
}
