package org.masticspread.policy.request;

import java.time.Duration;
import org.masticspread.model.config.EndpointConfig;
import org.masticspread.model.work.RequestSpec;

/**
 * One attempt to run a request at an endpoint. The caller must send it and report its outcome.
 *
 * @param number the id of the dispatch, unique within its scheduler
 * @param request the request
 * @param endpoint the endpoint to send it to
 * @param attempt the number of the attempt, from 1
 * @param hedge whether this is a hedged attempt, sent while another one is in flight
 * @param timeout how long to wait for the complete response
 */
public record Dispatch(
    long number,
    RequestSpec request,
    EndpointConfig endpoint,
    int attempt,
    boolean hedge,
    Duration timeout) {}
