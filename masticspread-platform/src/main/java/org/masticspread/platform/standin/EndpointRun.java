package org.masticspread.platform.standin;

import java.time.Instant;
import org.masticspread.model.id.EndpointId;
import org.masticspread.model.id.RequestKey;

/**
 * One run of a request at an endpoint, as it really was.
 *
 * @param endpoint the endpoint
 * @param request the request
 * @param started when it started
 */
public record EndpointRun(EndpointId endpoint, RequestKey request, Instant started) {}
