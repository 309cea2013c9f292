package org.masticspread.model.peer;

/**
 * Asks a VM what it is and what it reaches. Answered by {@link VmStatus}.
 *
 * @param checkStore whether the VM is to read from the store before it answers
 * @param aboutLeader whether the VM is to probe the leader before it answers, unless it has heard
 *     it just now
 * @param epoch the newest epoch of leadership that the sender has heard of
 * @param configVersion the newest configuration that the sender has
 */
public record VmProbe(boolean checkStore, boolean aboutLeader, long epoch, long configVersion)
    implements PeerMessage {}
