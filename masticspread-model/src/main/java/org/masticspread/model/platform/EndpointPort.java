package org.masticspread.model.platform;

import java.time.Duration;
import java.util.concurrent.CompletionStage;
import org.masticspread.model.config.EndpointConfig;
import org.masticspread.model.work.RequestSpec;

/** Sends requests to endpoints. */
@FunctionalInterface
public interface EndpointPort {
  /**
   * Sends a request to an endpoint. The stage never completes exceptionally.
   *
   * @param endpoint the endpoint
   * @param request the request; its key correlates the answer
   * @param timeout how long to wait for the complete answer
   * @return the result of the call
   */
  CompletionStage<EndpointReply> call(
      EndpointConfig endpoint, RequestSpec request, Duration timeout);
}
