package org.masticspread.platform.standin;

import java.time.Instant;
import org.masticspread.model.id.EndpointId;
import org.masticspread.model.id.RequestKey;

/**
 * A run of a request that actually started at an endpoint.
 *
 * @param endpoint the endpoint
 * @param request the request
 * @param started the start time
 */
public record EndpointRun(EndpointId endpoint, RequestKey request, Instant started) {}
