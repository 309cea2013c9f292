package org.masticspread.model.cell;

/**
 * An endpoint: a pool of workers.
 *
 * @param name the name
 * @param healthPath the path of the health answer
 * @param mostConnections the most connections to one worker
 * @param guardsCapacity whether its workers refuse what does not fit
 * @param standby whether its VMs are switched off until they are moved to another pool
 */
public record EndpointRule(
    String name, String healthPath, int mostConnections, boolean guardsCapacity, boolean standby) {}
