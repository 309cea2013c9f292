package org.masticspread.ctl.measure.cell;

/**
 * One fault on a cell.
 *
 * @param vms the number of VMs
 * @param fault the fault
 * @param servingAgainMs virtual milliseconds from the fault until each work shard had answered a
 *     request sent after it; -1 when one never did
 * @param firstRestartMs virtual milliseconds from the fault until the first start of a task by a
 *     new owner of its work shard; -1 when none moved
 * @param lost accepted jobs that did not end well
 * @param doubled promises of at most once or of one place at a time that were broken
 */
public record RecoveryRow(
    int vms, String fault, long servingAgainMs, long firstRestartMs, int lost, int doubled) {}
