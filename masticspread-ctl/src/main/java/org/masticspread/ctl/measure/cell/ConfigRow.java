package org.masticspread.ctl.measure.cell;

/**
 * The changes of configuration on one cell.
 *
 * @param vms the number of VMs
 * @param inForceEverywhereMs the longest virtual milliseconds from the apply of a change until it
 *     was in force on every VM
 * @param reverted how often a VM went back to an older revision
 */
public record ConfigRow(int vms, long inForceEverywhereMs, int reverted) {}
