package org.masticspread.ctl.measure.cell;

/**
 * The recovery of a cell from one fault.
 *
 * @param vms the number of VMs
 * @param fault the fault
 * @param servingAgainMs the virtual milliseconds from the fault until each work shard had answered
 *     a request sent after it; -1 if a shard never did
 * @param firstRestartMs the virtual milliseconds from the fault until a new owner of a work shard
 *     first started a task; -1 if none did
 * @param lost the number of accepted jobs that did not succeed, and of lost accepted work
 * @param doubled the number of violations of the guarantees that work runs at most once and never
 *     in two places at a time
 */
public record RecoveryRow(
    int vms, String fault, long servingAgainMs, long firstRestartMs, int lost, int doubled) {}
