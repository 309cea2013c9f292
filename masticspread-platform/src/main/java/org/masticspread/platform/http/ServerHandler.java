package org.masticspread.platform.http;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.util.AttributeKey;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.masticspread.platform.standin.Fault;
import org.masticspread.platform.standin.FaultKind;
import org.masticspread.platform.standin.Faults;

/** Channel handler that injects scripted faults into calls and serves them off the event loop. */
@Sharable
final class ServerHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Marks a connection that reads calls without answering them. */
  static final AttributeKey<Boolean> SILENT = AttributeKey.valueOf("platform-silent");

  private final StandInRoutes routes;
  private final Faults faults;
  private final Executor executor;
  private final Queue<ServerCall> reordered = new ConcurrentLinkedQueue<>();

  ServerHandler(StandInRoutes routes, Faults faults, Executor executor) {
    this.routes = routes;
    this.faults = faults;
    this.executor = executor;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
    if (context.channel().hasAttr(SILENT)) {
      return;
    }
    String id = request.headers().get(Protocol.CALL_ID, "");
    byte[] body = ByteBufUtil.getBytes(request.content());
    ServerCall call = new ServerCall(context.channel(), request.uri(), id, body);
    faults
        .next("http" + call.path())
        .ifPresentOrElse(f -> injectFault(call, f), () -> serveAndAnswer(call));
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    logger.atFine().withCause(cause).log("platform-server: connection failed");
    context.close();
  }

  private void injectFault(ServerCall call, Fault fault) {
    switch (fault.kind()) {
      case SILENT -> {
        return;
      }
      case DOWN, ERROR_BEFORE_EFFECT -> call.close();
      case ANSWER_LOST -> serve(call, answer -> call.close());
      case CUT -> serve(call, call::answerHalf);
      case FOREIGN -> serve(call, call::answerForeign);
      case SLOW -> delay(call, fault);
      case REORDERED -> {
        reordered.add(call);
        call.close();
      }
      default -> {
        serveAndAnswer(call);
        repeatIfDuplicate(call, fault);
      }
    }
  }

  private void repeatIfDuplicate(ServerCall call, Fault fault) {
    if (fault.kind() == FaultKind.DUPLICATE) {
      serve(call, answer -> {});
    }
  }

  private void delay(ServerCall call, Fault fault) {
    var ignored =
        call.channel()
            .eventLoop()
            .schedule(() -> serveAndAnswer(call), fault.time().toNanos(), TimeUnit.NANOSECONDS);
  }

  private void serveAndAnswer(ServerCall call) {
    serve(call, call::answer);
    for (ServerCall next = reordered.poll(); next != null; next = reordered.poll()) {
      serve(next, answer -> {});
    }
  }

  private void serve(ServerCall call, Consumer<ServerAnswer> onAnswer) {
    executor.execute(
        () -> {
          var ignored = routes.serve(call.path(), call.body()).thenAccept(onAnswer);
        });
  }
}
