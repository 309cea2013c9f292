package org.masticspread.model.config;

import org.masticspread.model.id.DataCentreId;
import org.masticspread.model.id.EndpointId;
import org.masticspread.model.id.PoolId;

/**
 * An endpoint: one executor of the ordering service.
 *
 * @param name the endpoint
 * @param pool its pool
 * @param dataCentre its data centre
 * @param address host and port, or a URL
 * @param slots requests it runs at once, at least 1
 * @param connections connections it accepts, at least 1
 * @param state whether it gets new work
 */
public record EndpointConfig(
    EndpointId name,
    PoolId pool,
    DataCentreId dataCentre,
    String address,
    int slots,
    int connections,
    EndpointState state) {}
