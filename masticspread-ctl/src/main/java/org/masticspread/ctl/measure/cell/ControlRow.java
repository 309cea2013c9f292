package org.masticspread.ctl.measure.cell;

/**
 * The overhead of control in one cell.
 *
 * @param vms the number of VMs
 * @param load the load, either {@code idle} or {@code load}
 * @param bytesPerSecondPerVm the bytes of messages between VMs and of rows written
 * @param messagesPerSecondPerVm the messages between VMs, including answers
 * @param storeWritesPerSecond the store transactions of all VMs
 * @param storeReadsPerSecond the store reads and scans of all VMs
 * @param cpuShare the CPU time per VM and virtual second, including the encoding of messages and
 *     the platform stand-ins
 */
public record ControlRow(
    int vms,
    String load,
    double bytesPerSecondPerVm,
    double messagesPerSecondPerVm,
    double storeWritesPerSecond,
    double storeReadsPerSecond,
    double cpuShare) {}
