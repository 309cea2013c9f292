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
 * Authenticates both ends before any message is read; closes the connection of a stranger.
 *
 * <p>The client sends a hello with a nonce, the server a challenge with its own, the client its
 * proof, the server its proof.
 */
abstract class Handshake extends SimpleChannelInboundHandler<Frame> {
  static final String CLIENT = "client";
  static final String SERVER = "server";

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  final Wire wire;
  private Disposable timeout = Disposable.disposed();

  Handshake(Wire wire) {
    this.wire = wire;
  }

  /** Adds what follows the handshake; called on the event loop before a message is read. */
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
      wire.metrics().stranger();
    }
    logger.atWarning().log(
        "wire: handshake with %s failed: %s",
        context.channel().remoteAddress(), cause.getMessage());
    context.close();
  }

  /** Lets messages pass from now on. */
  void finish(ChannelHandlerContext context, VmId peer) {
    timeout.dispose();
    context.pipeline().get(FrameCodec.class).allow(wire.settings().mostFrameBytes());
    context.pipeline().addAfter(context.name(), "heartbeats", new Heartbeats(wire, peer));
    authenticated(context);
    context.pipeline().remove(this);
  }

  static void require(boolean holds, String message) throws WireFormatException {
    if (!holds) {
      throw new WireFormatException(message, null);
    }
  }

  static void send(ChannelHandlerContext context, int kind, Hello body) {
    context.writeAndFlush(new Frame(kind, 0, 0, body.encode()));
  }
}
