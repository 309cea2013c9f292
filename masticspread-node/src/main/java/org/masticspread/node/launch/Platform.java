package org.masticspread.node.launch;

import org.masticspread.model.platform.EndpointPort;
import org.masticspread.model.platform.MembershipList;
import org.masticspread.model.platform.ObjectStore;
import org.masticspread.model.platform.TableService;
import org.masticspread.model.platform.WorkerPort;

/**
 * Ports to the platform that a node uses.
 *
 * @param table the table service
 * @param objects the object store
 * @param membership the membership list
 * @param workers the workers
 * @param endpoints the endpoints
 */
public record Platform(
    TableService table,
    ObjectStore objects,
    MembershipList membership,
    WorkerPort workers,
    EndpointPort endpoints) {}
