package org.masticspread.model.peer;

/**
 * The status of a VM.
 *
 * @param life the incarnation of the VM, which changes with each start of the process
 * @param leading whether the VM leads the cell
 * @param epoch the highest leadership epoch known to the VM
 * @param leaderVm the VM that leads in this epoch; empty if unknown
 * @param leaderLife the incarnation of the leader
 * @param configVersion the version of its configuration
 * @param configAgeMillis the time since the store, or a VM that reaches it, has confirmed that its
 *     configuration is the newest
 * @param hearsLeader whether it has recently received an answer from the leader
 * @param storeReached whether the store answered the requested read
 * @param stopping whether the VM is stopping
 * @param upMillis the uptime of the process
 * @param serving whether the VM leads and has loaded the state needed to answer calls
 * @param progress a counter that increases while a new leader loads jobs and workers
 */
public record VmStatus(
    String life,
    boolean leading,
    long epoch,
    String leaderVm,
    String leaderLife,
    long configVersion,
    long configAgeMillis,
    boolean hearsLeader,
    boolean storeReached,
    boolean stopping,
    long upMillis,
    boolean serving,
    long progress)
    implements PeerMessage {}
