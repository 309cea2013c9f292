package org.masticspread.wire.internal;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.Disposable;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.masticspread.model.id.VmId;
import org.masticspread.wire.WireFormatException;

/**
 * Authenticates both sides before any message is read, and closes the connection if authentication
 * fails.
 *
 * <p>The client sends a hello with its nonce, the server a challenge with its own nonce, then the
 * client its proof and the server its proof.
 */
abstract class Handshake extends SimpleChannelInboundHandler<Frame> {
  static final String CLIENT = "client";
  static final String SERVER = "server";

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  final WireContext wire;
  private Disposable timeout = Disposable.disposed();

  Handshake(WireContext wire) {
    this.wire = wire;
  }

  /**
   * Adds the handlers that follow the handshake. Called on the event loop before any message is
   * read.
   */
  abstract void authenticated(ChannelHandlerContext context);

  @Override
  public void channelActive(ChannelHandlerContext context) {
    Scheduler timers = wire.timers();
    long limit = wire.settings().connectTimeout().toNanos();
    timeout = timers.scheduleDirect(context::close, limit, TimeUnit.NANOSECONDS);
    context.fireChannelActive();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    timeout.dispose();
    context.fireChannelInactive();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    if (!(cause instanceof IOException)) {
      wire.metrics().handshakeRejected();
    }
    logger.atWarning().log(
        "wire: handshake with %s failed: %s",
        context.channel().remoteAddress(), cause.getMessage());
    context.close();
  }

  /** Completes the handshake, so that messages can be received. */
  void finish(ChannelHandlerContext context, VmId peer) {
    timeout.dispose();
    context.pipeline().get(FrameCodec.class).setMaxFrameBytes(wire.settings().maxFrameBytes());
    context.pipeline().addAfter(context.name(), "heartbeats", new HeartbeatHandler(wire, peer));
    authenticated(context);
    context.pipeline().remove(this);
  }

  static void check(boolean holds, String message) throws WireFormatException {
    if (!holds) {
      throw new WireFormatException(message, null);
    }
  }

  static void send(ChannelHandlerContext context, int kind, HandshakeMessage body) {
    context.writeAndFlush(new Frame(kind, 0, 0, body.encode()));
  }
}
