package org.masticspread.model.peer;

/**
 * What a VM knows of itself.
 *
 * @param life its incarnation, new with each start of the process
 * @param leading whether it leads the cell
 * @param epoch the newest epoch of leadership that it has heard of
 * @param leaderVm the VM that leads in this epoch; empty if it knows none
 * @param leaderLife the incarnation of that VM
 * @param configVersion the newest configuration that it has
 * @param hearsLeader whether it has had an answer of the leader lately
 * @param storeReached whether the store answered the read asked for
 * @param stopping whether it is about to stop
 * @param upMillis for how long the process has run
 * @param serving whether it leads and has read what it needs to answer calls
 * @param progress rises while a new leader takes jobs and workers in
 */
public record VmStatus(
    String life,
    boolean leading,
    long epoch,
    String leaderVm,
    String leaderLife,
    long configVersion,
    boolean hearsLeader,
    boolean storeReached,
    boolean stopping,
    long upMillis,
    boolean serving,
    long progress)
    implements PeerMessage {}
