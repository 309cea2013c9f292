package org.masticspread.model.cell;

/**
 * The configuration of an endpoint, a pool of workers.
 *
 * @param name the name
 * @param healthPath the path of the health check
 * @param mostConnections the maximum number of connections to a worker
 * @param guardsCapacity whether its workers refuse tasks that exceed their capacity
 * @param standby whether its VMs are switched off until they are moved to another pool
 */
public record EndpointRule(
    String name, String healthPath, int mostConnections, boolean guardsCapacity, boolean standby) {}
