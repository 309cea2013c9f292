package org.masticspread.node.api;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import com.google.common.flogger.FluentLogger;
import io.jooby.Context;
import io.jooby.ExecutionMode;
import io.jooby.Jooby;
import io.jooby.MediaType;
import io.jooby.ReactiveSupport;
import io.jooby.Route;
import io.jooby.Server;
import io.jooby.ServerOptions;
import io.jooby.StatusCode;
import io.jooby.netty.NettyServer;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import org.masticspread.model.result.InvalidFieldException;
import org.masticspread.model.result.MasticspreadException;
import org.masticspread.model.result.ResultCode;
import org.masticspread.node.settings.HostPort;

/**
 * Server of the HTTP interface.
 *
 * <p>Example: {@code ApiServer.with(routes, metrics).limits(1 << 20).listen(address, executor)}.
 */
public final class ApiServer implements AutoCloseable {
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
  private static final int MAX_HEADER_CHARS = 4_096;
  private static final double MILLIS_PER_SECOND = 1_000.0;

  private final ApiRoutes routes;
  private final MetricRegistry metrics;
  private int maxBodyBytes = 1 << 20;
  private Server server;

  private ApiServer(ApiRoutes routes, MetricRegistry metrics) {
    this.routes = routes;
    this.metrics = metrics;
  }

  /**
   * Creates a server that does not listen yet.
   *
   * @param routes the routes to serve
   * @param metrics the registry of metrics
   * @return the server
   */
  public static ApiServer with(ApiRoutes routes, MetricRegistry metrics) {
    return new ApiServer(routes, metrics);
  }

  /**
   * Sets the maximum size of a body.
   *
   * @param bytes the maximum size of the body of a call, in bytes
   * @return this server
   */
  public ApiServer limits(int bytes) {
    maxBodyBytes = bytes;
    return this;
  }

  /**
   * Starts listening.
   *
   * @param address the address to listen on
   * @param executor the executor that runs the handlers
   * @return this server
   */
  public ApiServer listen(HostPort address, Executor executor) {
    Jooby app = new Jooby();
    app.install(new NettyServer());
    app.setServerOptions(options(address));
    app.setExecutionMode(ExecutionMode.EVENT_LOOP);
    app.use(ReactiveSupport.concurrent());
    app.error(ApiServer::sendFailure);
    routes.registerAll(
        (method, path, call) ->
            app.route(method, path, handler(method + " " + path, call, executor)));
    server = app.start();
    LOG.atInfo().log("api: listening on %s", address);
    return this;
  }

  private ServerOptions options(HostPort address) {
    ServerOptions options = new ServerOptions();
    options.setHost(address.host());
    options.setPort(address.port());
    options.setMaxRequestSize(maxBodyBytes);
    options.setIoThreads(2);
    options.setWorkerThreads(2);
    return options;
  }

  private Route.Handler handler(String name, ApiRoutes.Call call, Executor executor) {
    Timer timer = metrics.timer("api." + name.replaceAll("[^A-Za-z0-9]+", "."));
    return ctx -> {
      Timer.Context time = timer.time();
      requireHeaderSizes(ctx);
      byte[] body = ctx.body().bytes();
      requireBodySize(body);
      return CompletableFuture.supplyAsync(() -> answer(call, ctx, body), executor)
          .thenCompose(stage -> stage)
          .exceptionally(e -> failure(ctx, e, null))
          .thenApply(
              reply -> {
                time.stop();
                prepare(ctx, reply);
                return reply.body();
              });
    };
  }

  private void requireBodySize(byte[] body) throws InvalidFieldException {
    if (body.length > maxBodyBytes) {
      throw new InvalidFieldException(
          ResultCode.TOO_LARGE, "body", body.length + " bytes", maxBodyBytes + " bytes at most");
    }
  }

  private static CompletionStage<Reply> answer(ApiRoutes.Call call, Context ctx, byte[] body) {
    try {
      return call.answer(ctx, body);
    } catch (MasticspreadException e) {
      throw new CompletionException(e);
    }
  }

  private static void requireHeaderSizes(Context ctx) throws InvalidFieldException {
    for (var header : ctx.headerMap().entrySet()) {
      if (header.getValue().length() > MAX_HEADER_CHARS) {
        throw new InvalidFieldException(
            ResultCode.TOO_LARGE,
            "header " + header.getKey(),
            header.getValue().length() + " characters",
            MAX_HEADER_CHARS + " characters at most");
      }
    }
  }

  private static void sendFailure(Context ctx, Throwable cause, StatusCode status) {
    Reply reply = failure(ctx, cause, status);
    prepare(ctx, reply);
    ctx.send(reply.body());
  }

  /**
   * Sets the status and headers of a reply. The body of an asynchronous call is sent by the server.
   */
  private static void prepare(Context ctx, Reply reply) {
    ctx.setResponseCode(reply.status());
    ctx.setResponseType(MediaType.valueOf(reply.contentType()));
    if (reply.retryAfterMs() != null) {
      long seconds = (long) Math.ceil(reply.retryAfterMs() / MILLIS_PER_SECOND);
      ctx.setResponseHeader("Retry-After", Long.toString(seconds));
    }
  }

  private static Reply failure(Context ctx, Throwable thrown, StatusCode status) {
    Throwable cause =
        thrown instanceof CompletionException && thrown.getCause() != null
            ? thrown.getCause()
            : thrown;
    if (cause instanceof MasticspreadException known) {
      return Reply.of(ResultBody.of(known));
    }
    if (status != null && status.value() == StatusCode.REQUEST_ENTITY_TOO_LARGE.value()) {
      return Reply.of(ResultBody.of(ResultCode.TOO_LARGE, "body: too large", "body"));
    }
    if (status != null && status.value() == StatusCode.NOT_FOUND.value()) {
      return Reply.of(
          ResultBody.of(ResultCode.NOT_FOUND, "no such call: " + ctx.getRequestPath(), null));
    }
    if (status != null && status.value() == StatusCode.METHOD_NOT_ALLOWED.value()) {
      String detail = "method: '" + ctx.getMethod() + "' is not allowed here";
      return Reply.of(ResultBody.of(ResultCode.INVALID_FIELD, detail, "method"));
    }
    if (status != null && status.value() == StatusCode.BAD_REQUEST.value()) {
      return Reply.of(ResultBody.of(ResultCode.INVALID_FIELD, cause.getMessage(), "query"));
    }
    LOG.atSevere().withCause(cause).log("api: call failed: %s", ctx.getRequestPath());
    return Reply.of(
        ResultBody.of(ResultCode.INTERNAL_ERROR, "internal error; see the log of this VM", null));
  }

  /**
   * Returns the port on which the server listens.
   *
   * @return the port
   */
  public int port() {
    return server.getOptions().getPort();
  }

  @Override
  public void close() {
    if (server != null) {
      server.stop();
    }
  }
}
