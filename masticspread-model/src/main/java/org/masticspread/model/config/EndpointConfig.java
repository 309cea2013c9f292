package org.masticspread.model.config;

import org.masticspread.model.id.DataCentreId;
import org.masticspread.model.id.EndpointId;
import org.masticspread.model.id.PoolId;

/**
 * The configuration of an endpoint, one executor of the ordering service.
 *
 * @param name the endpoint
 * @param pool its pool
 * @param dataCentre its data centre
 * @param address host and port, or a URL
 * @param slots the number of requests it runs at once, at least 1
 * @param connections the number of connections it accepts, at least 1
 * @param state whether it accepts new work
 */
public record EndpointConfig(
    EndpointId name,
    PoolId pool,
    DataCentreId dataCentre,
    String address,
    int slots,
    int connections,
    EndpointState state) {}
