package org.masticspread.platform.http;

import java.time.Duration;
import java.util.concurrent.CompletionStage;
import org.masticspread.model.config.EndpointConfig;
import org.masticspread.model.platform.EndpointOutcome;
import org.masticspread.model.platform.EndpointPort;
import org.masticspread.model.platform.EndpointReply;
import org.masticspread.model.work.Payload;
import org.masticspread.model.work.RequestSpec;

/**
 * Adapter that calls endpoints over HTTP.
 *
 * <p>The number of open connections to an endpoint never exceeds the limit in its configuration. A
 * call without a complete answer closes its own connection and all idle connections to that
 * endpoint, so that the next call opens a new one. Stages complete on a thread of the client.
 *
 * <p>Example: {@code new HttpEndpoints(HttpSettings.defaults()).call(endpoint, request, timeout)}.
 * Thread-safe.
 */
public final class HttpEndpoints implements EndpointPort, AutoCloseable {
  private final HttpCallerRegistry callers;

  /**
   * Creates an adapter, which opens connections on demand.
   *
   * @param settings the timeouts and limits; the call timeout is not used
   */
  public HttpEndpoints(HttpSettings settings) {
    this.callers = new HttpCallerRegistry(settings);
  }

  @Override
  public CompletionStage<EndpointReply> call(
      EndpointConfig endpoint, RequestSpec request, Duration timeout) {
    String url = HttpCallerRegistry.url(endpoint.address(), "/run");
    return callers
        .callerFor(endpoint.address(), endpoint.connections())
        .enqueue(url, Protocol.write(request), request.key().toString(), timeout)
        .thenApply(HttpEndpoints::reply);
  }

  @Override
  public void close() {
    callers.close();
  }

  private static EndpointReply reply(HttpResult result) {
    return switch (result.kind()) {
      case NOT_SENT -> EndpointReply.of(EndpointOutcome.CONNECT_FAILED, result.detail());
      case NO_ANSWER -> EndpointReply.of(EndpointOutcome.NO_ANSWER, result.detail());
      case ANSWERED -> answered(result);
    };
  }

  private static EndpointReply answered(HttpResult result) {
    if (result.outcome().equals(Protocol.BUSY)) {
      return EndpointReply.of(EndpointOutcome.BUSY, "all slots are in use");
    }
    boolean ok = result.outcome().equals(Protocol.OK);
    EndpointOutcome outcome = ok ? EndpointOutcome.ANSWERED : EndpointOutcome.ERROR;
    return new EndpointReply(outcome, new Payload(result.body()), "");
  }
}
