package org.masticspread.ctl.measure.cell;

/**
 * What control costs on one cell.
 *
 * @param vms the number of VMs
 * @param load idle or load
 * @param bytesPerSecondPerVm bytes of messages between VMs and of rows written
 * @param messagesPerSecondPerVm messages between VMs, answers included
 * @param storeWritesPerSecond transactions of all VMs
 * @param storeReadsPerSecond reads and scans of all VMs
 * @param cpuShare processor time of the work of a VM, of its messages' encoding and of the
 *     stand-ins, for each virtual second
 */
public record ControlRow(
    int vms,
    String load,
    double bytesPerSecondPerVm,
    double messagesPerSecondPerVm,
    double storeWritesPerSecond,
    double storeReadsPerSecond,
    double cpuShare) {}
