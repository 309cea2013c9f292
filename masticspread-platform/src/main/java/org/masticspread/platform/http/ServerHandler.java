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

/** Reads calls, lets each meet its fault and serves it off the event loop. */
@Sharable
final class ServerHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Whether a connection takes calls in and answers none. */
  static final AttributeKey<Boolean> SILENT = AttributeKey.valueOf("platform-silent");

  private final StandInRoutes routes;
  private final Faults faults;
  private final Executor executor;
  private final Queue<ServerCall> late = new ConcurrentLinkedQueue<>();

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
    faults.next("http" + call.path()).ifPresentOrElse(f -> meet(call, f), () -> whole(call));
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    logger.atFine().withCause(cause).log("platform-server: connection failed");
    context.close();
  }

  private void meet(ServerCall call, Fault fault) {
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
        late.add(call);
        call.close();
      }
      default -> {
        whole(call);
        repeat(call, fault);
      }
    }
  }

  private void repeat(ServerCall call, Fault fault) {
    if (fault.kind() == FaultKind.DUPLICATE) {
      serve(call, answer -> {});
    }
  }

  private void delay(ServerCall call, Fault fault) {
    var ignored =
        call.channel()
            .eventLoop()
            .schedule(() -> whole(call), fault.time().toNanos(), TimeUnit.NANOSECONDS);
  }

  private void whole(ServerCall call) {
    serve(call, call::answer);
    for (ServerCall next = late.poll(); next != null; next = late.poll()) {
      serve(next, answer -> {});
    }
  }

  private void serve(ServerCall call, Consumer<ServerAnswer> then) {
    executor.execute(
        () -> {
          var ignored = routes.serve(call.path(), call.body()).thenAccept(then);
        });
  }
}
