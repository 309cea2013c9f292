package org.masticspread.model.peer;

import org.masticspread.model.id.EndpointId;

/**
 * The number of requests in flight at an endpoint.
 *
 * @param endpoint the endpoint
 * @param inFlight the number of requests in flight from this VM
 */
public record EndpointLoad(EndpointId endpoint, int inFlight) {}
