package org.masticspread.wire.internal;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.BooleanSupplier;
import org.masticspread.model.id.VmId;
import org.masticspread.model.peer.PeerHandler;
import org.masticspread.model.peer.PeerMessage;
import org.masticspread.wire.MessageTypes;
import org.masticspread.wire.WireFormatException;

/** Handles the incoming calls of one authenticated connection. */
final class ServerCallHandler extends SimpleChannelInboundHandler<Frame> {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final WireContext wire;
  private final VmId peer;
  private final PeerHandler handler;
  private final CallCount inFlight;
  private final CallCount connectionInFlight = new CallCount();
  private final BooleanSupplier stopping;
  private final SeenIds seen = new SeenIds();

  ServerCallHandler(
      WireContext wire,
      VmId peer,
      PeerHandler handler,
      CallCount inFlight,
      BooleanSupplier stopping) {
    this.wire = wire;
    this.peer = peer;
    this.handler = handler;
    this.inFlight = inFlight;
    this.stopping = stopping;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, Frame frame) {
    boolean call = frame.kind() >= Frame.FIRST_MESSAGE && !frame.isAnswer();
    if (!call || !seen.add(frame.id())) {
      wire.metrics().droppedCall();
      return;
    }
    Channel channel = context.channel();
    if (!channel.isWritable() || !connectionInFlight.tryAdd(wire.settings().maxInFlightCalls())) {
      refuse(channel, frame.id(), "too many calls are in flight");
      return;
    }
    inFlight.tryAdd(Integer.MAX_VALUE);
    if (stopping.getAsBoolean()) {
      refuse(channel, frame.id(), "stopping");
      callEnded();
      return;
    }
    try {
      wire.handlerExecutor().execute(() -> handle(channel, frame));
    } catch (RejectedExecutionException e) {
      refuse(channel, frame.id(), "too many calls are in flight");
      callEnded();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    logger.atWarning().log("wire: connection from %s failed: %s", peer, cause.getMessage());
    context.close();
  }

  private void handle(Channel channel, Frame frame) {
    PeerMessage message;
    try {
      message = MessageTypes.read(frame.kind(), frame.body());
    } catch (WireFormatException e) {
      refuse(channel, frame.id(), e.getMessage());
      callEnded();
      return;
    }
    var ignored =
        answer(message).whenComplete((answer, error) -> reply(channel, frame.id(), answer, error));
  }

  private CompletionStage<PeerMessage> answer(PeerMessage message) {
    try {
      return handler.handle(peer, message);
    } catch (RuntimeException e) {
      return CompletableFuture.failedStage(e);
    }
  }

  private void reply(Channel channel, long id, PeerMessage answer, Throwable error) {
    channel.writeAndFlush(frame(id, answer, error));
    callEnded();
  }

  private Frame frame(long id, PeerMessage answer, Throwable error) {
    if (error != null || answer == null) {
      logger.atWarning().withCause(error).log("wire: handler failed for %s", peer);
      return failure(id, Frame.ANSWER, "the handler failed");
    }
    try {
      byte[] body = MessageTypes.write(answer);
      boolean fits = body.length <= Connections.maxBodyBytes(wire.settings());
      return fits
          ? new Frame(MessageTypes.numberOf(answer), id, Frame.ANSWER, body)
          : failure(id, Frame.ANSWER, "the answer is too large: " + body.length + " bytes");
    } catch (WireFormatException | IllegalArgumentException e) {
      return failure(id, Frame.ANSWER, e.getMessage());
    }
  }

  private void callEnded() {
    connectionInFlight.remove();
    inFlight.remove();
  }

  private static void refuse(Channel channel, long id, String detail) {
    channel.writeAndFlush(failure(id, Frame.ANSWER | Frame.NO_EFFECT, detail));
  }

  private static Frame failure(long id, int flags, String detail) {
    return new Frame(Frame.FAILURE, id, flags, detail.getBytes(StandardCharsets.UTF_8));
  }
}
