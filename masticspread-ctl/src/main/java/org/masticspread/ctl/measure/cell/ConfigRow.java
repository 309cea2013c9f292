package org.masticspread.ctl.measure.cell;

/**
 * The result of the configuration changes in one cell.
 *
 * @param vms the number of VMs
 * @param inForceEverywhereMs the longest time from applying a change until it was in force on every
 *     VM, in virtual milliseconds
 * @param reverted the number of times that a VM returned to an older revision
 */
public record ConfigRow(int vms, long inForceEverywhereMs, int reverted) {}
