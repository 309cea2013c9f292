package org.masticspread.model.config;

import org.masticspread.model.id.DataCentreId;
import org.masticspread.model.id.PoolId;
import org.masticspread.model.id.RackId;
import org.masticspread.model.id.WorkerId;
import org.masticspread.model.resource.ResourceVector;

/**
 * The configuration of a worker.
 *
 * @param name the worker
 * @param pool its pool
 * @param rack its rack
 * @param dataCentre its data centre
 * @param address host and port, or a URL
 * @param capacity the total resources available to tasks
 * @param state whether it accepts new work
 */
public record WorkerConfig(
    WorkerId name,
    PoolId pool,
    RackId rack,
    DataCentreId dataCentre,
    String address,
    ResourceVector capacity,
    EndpointState state) {}
