package org.masticspread.node.member;

import org.masticspread.model.peer.Digest;

/**
 * Latest digest of a VM.
 *
 * @param digest the digest
 * @param receivedNanos when it was received, on the monotonic clock of this VM, in nanoseconds
 */
record Peer(Digest digest, long receivedNanos) {}
