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

/** Handles the outgoing calls of one authenticated connection to a peer. Thread-safe. */
final class ClientCallHandler extends SimpleChannelInboundHandler<Frame> {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final WireContext wire;
  private final VmId peer;
  private final Channel channel;
  private final Runnable onPeerLeaving;
  private final Map<Long, PendingCall> pending = new ConcurrentHashMap<>();
  private final AtomicLong ids = new AtomicLong();
  private volatile boolean leaving;

  ClientCallHandler(WireContext wire, VmId peer, Channel channel, Runnable onPeerLeaving) {
    this.wire = wire;
    this.peer = peer;
    this.channel = channel;
    this.onPeerLeaving = onPeerLeaving;
  }

  void send(PendingCall call) {
    if (!channel.isWritable()) {
      call.fail(false, channel.isActive() ? "the write queue is full" : "the connection is lost");
      return;
    }
    long id = ids.incrementAndGet();
    pending.put(id, call);
    if (!call.markSent(() -> remove(id))) {
      remove(id);
      return;
    }
    channel
        .writeAndFlush(call.frame(id))
        .addListener(
            written -> {
              if (!written.isSuccess()) {
                call.fail(false, "the call was not written: " + written.cause().getMessage());
              }
            });
  }

  private void remove(long id) {
    pending.remove(id);
    closeIfIdle();
  }

  /** Closes the connection as soon as its last call has ended. */
  void closeWhenIdle() {
    leaving = true;
    closeIfIdle();
  }

  void close() {
    channel.close();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, Frame frame) {
    if (frame.kind() == Frame.GOODBYE) {
      onPeerLeaving.run();
      closeWhenIdle();
      return;
    }
    PendingCall call = frame.isAnswer() ? pending.remove(frame.id()) : null;
    if (call == null) {
      wire.metrics().droppedAnswer();
      return;
    }
    complete(call, frame);
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

  private void complete(PendingCall call, Frame frame) {
    if (frame.kind() == Frame.FAILURE) {
      String detail = new String(frame.body(), StandardCharsets.UTF_8);
      call.fail(!frame.hasNoEffect(), peer + ": " + detail);
      return;
    }
    try {
      call.succeed(MessageTypes.read(frame.kind(), frame.body()));
    } catch (WireFormatException e) {
      call.fail(true, peer + ": " + e.getMessage());
    }
  }

  private void closeIfIdle() {
    if (leaving && pending.isEmpty()) {
      channel.close();
    }
  }
}
