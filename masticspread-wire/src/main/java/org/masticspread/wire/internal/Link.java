package org.masticspread.wire.internal;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.masticspread.model.id.VmId;
import org.masticspread.wire.MessageTypes;
import org.masticspread.wire.WireFormatException;

/** The calls of one authenticated connection to a peer. Thread-safe. */
final class Link extends SimpleChannelInboundHandler<Frame> {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final Wire wire;
  private final VmId peer;
  private final Channel channel;
  private final Runnable whenLeaving;
  private final Map<Long, PendingCall> pending = new ConcurrentHashMap<>();
  private final AtomicLong ids = new AtomicLong();
  private volatile boolean leaving;

  Link(Wire wire, VmId peer, Channel channel, Runnable whenLeaving) {
    this.wire = wire;
    this.peer = peer;
    this.channel = channel;
    this.whenLeaving = whenLeaving;
  }

  void send(PendingCall call) {
    if (!channel.isWritable()) {
      call.fail(false, channel.isActive() ? "the write queue is full" : "the connection is lost");
      return;
    }
    long id = ids.incrementAndGet();
    pending.put(id, call);
    if (!call.handOver(() -> forget(id))) {
      forget(id);
      return;
    }
    channel
        .writeAndFlush(call.frame(id))
        .addListener(
            written -> {
              if (!written.isSuccess()) {
                call.fail(false, "not written: " + written.cause().getMessage());
              }
            });
  }

  private void forget(long id) {
    pending.remove(id);
    closeIfDone();
  }

  /** Closes the connection once its last call has ended. */
  void leave() {
    leaving = true;
    closeIfDone();
  }

  void close() {
    channel.close();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, Frame frame) {
    if (frame.kind() == Frame.GOODBYE) {
      whenLeaving.run();
      leave();
      return;
    }
    PendingCall call = frame.isAnswer() ? pending.remove(frame.id()) : null;
    if (call == null) {
      wire.metrics().droppedAnswer();
      return;
    }
    settle(call, frame);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    pending.values().forEach(call -> call.fail("the connection to " + peer + " was lost"));
    context.fireChannelInactive();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    logger.atWarning().log("wire: connection to %s failed: %s", peer, cause.getMessage());
    context.close();
  }

  private void settle(PendingCall call, Frame frame) {
    if (frame.kind() == Frame.FAILURE) {
      String detail = new String(frame.body(), StandardCharsets.UTF_8);
      call.fail(!frame.isNotDone(), peer + ": " + detail);
      return;
    }
    try {
      call.succeed(MessageTypes.read(frame.kind(), frame.body()));
    } catch (WireFormatException e) {
      call.fail(true, peer + ": " + e.getMessage());
    }
  }

  private void closeIfDone() {
    if (leaving && pending.isEmpty()) {
      channel.close();
    }
  }
}
