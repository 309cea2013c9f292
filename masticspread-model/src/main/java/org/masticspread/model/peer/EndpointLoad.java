package org.masticspread.model.peer;

import org.masticspread.model.id.EndpointId;

/**
 * Requests in flight at an endpoint.
 *
 * @param endpoint the endpoint
 * @param inFlight the requests in flight from this VM
 */
public record EndpointLoad(EndpointId endpoint, int inFlight) {}
