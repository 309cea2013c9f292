package org.masticspread.model.peer;

/**
 * Asks a VM for its status and for what it can reach. Answered by {@link VmStatus}.
 *
 * @param checkStore whether the VM must read from the store before it answers
 * @param aboutLeader whether the VM must probe the leader before it answers, unless it heard from
 *     it very recently
 * @param epoch the highest leadership epoch known to the sender
 * @param configVersion the version of the configuration of the sender
 */
public record VmProbe(boolean checkStore, boolean aboutLeader, long epoch, long configVersion)
    implements PeerMessage {}
