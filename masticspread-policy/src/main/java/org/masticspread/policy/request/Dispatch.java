package org.masticspread.policy.request;

import java.time.Duration;
import org.masticspread.model.config.EndpointConfig;
import org.masticspread.model.work.RequestSpec;

/**
 * One attempt of a request at an endpoint; the caller must send it and report how it ended.
 *
 * @param number the number of the dispatch, unique within its scheduler
 * @param request the request
 * @param endpoint where to send it
 * @param attempt the number of the attempt, from 1
 * @param hedge whether another attempt of the request is in flight
 * @param timeout how long to wait for the whole answer
 */
public record Dispatch(
    long number,
    RequestSpec request,
    EndpointConfig endpoint,
    int attempt,
    boolean hedge,
    Duration timeout) {}
