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

/** Accepts connections from peers. Thread-safe. */
public final class Listener {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final WireContext wire;
  private final PeerHandler handler;
  private final CallCount inFlight = new CallCount();
  private final ChannelGroup peerChannels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final Channel channel;
  private volatile boolean stopping;

  /**
   * Starts listening.
   *
   * @param wire the context shared by all connections
   * @param loops the event loops of the connections
   * @param handler answers the calls
   * @param address the address to listen on
   * @throws IOException if the address cannot be bound
   */
  public Listener(
      WireContext wire, EventLoopGroup loops, PeerHandler handler, InetSocketAddress address)
      throws IOException {
    this.wire = wire;
    this.handler = handler;
    var bound = Connections.server(wire, loops, this::handshake).bind(address);
    if (!bound.awaitUninterruptibly().isSuccess()) {
      throw new IOException("cannot listen on " + address, bound.cause());
    }
    this.channel = bound.channel();
    logger.atInfo().log("wire: listening on %s", channel.localAddress());
  }

  /**
   * Returns the address on which the listener accepts connections.
   *
   * @return the address with the actual port
   */
  public InetSocketAddress address() {
    return (InetSocketAddress) channel.localAddress();
  }

  /**
   * Refuses new calls, waits for calls in flight up to the close timeout and then closes all
   * connections.
   */
  public void close() {
    stopping = true;
    channel.close().awaitUninterruptibly();
    peerChannels.writeAndFlush(Frame.control(Frame.GOODBYE));
    int left = inFlight.awaitZero(wire.settings().closeTimeout());
    if (left > 0) {
      logger.atWarning().log("wire: closing the listener with %d calls in flight", left);
    }
    for (Channel peer : peerChannels) {
      peer.writeAndFlush(Frame.control(Frame.GOODBYE)).addListener(ChannelFutureListener.CLOSE);
    }
    peerChannels
        .newCloseFuture()
        .awaitUninterruptibly(wire.settings().heartbeatInterval().toMillis());
    peerChannels.close().awaitUninterruptibly();
  }

  private Handshake handshake() {
    return new AcceptHandshake();
  }

  /** The handshake that is followed by the call handler of its peer. */
  private final class AcceptHandshake extends ServerHandshake {
    AcceptHandshake() {
      super(Listener.this.wire);
    }

    @Override
    void authenticated(ChannelHandlerContext context) {
      peerChannels.add(context.channel());
      context
          .pipeline()
          .addLast(new ServerCallHandler(wire, peer(), handler, inFlight, () -> stopping));
    }
  }
}
