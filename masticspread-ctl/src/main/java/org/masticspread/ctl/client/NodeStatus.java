package org.masticspread.ctl.client;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The state of a node.
 *
 * @param vm the VM
 * @param incarnation the number of its start
 * @param configRevision the revision of the configuration in force there
 * @param ready whether it takes work
 * @param storeReached whether it reaches the store
 * @param vms the VMs it takes for live
 * @param shards the work shards it owns
 * @param racks the rack shards it owns
 * @param home what its endpoints do
 */
public record NodeStatus(
    String vm,
    String incarnation,
    long configRevision,
    boolean ready,
    boolean storeReached,
    JsonNode vms,
    JsonNode shards,
    JsonNode racks,
    JsonNode home) {}
